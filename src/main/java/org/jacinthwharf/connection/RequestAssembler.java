package org.jacinthwharf.connection;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Assembles the requests of one connection, each with its whole body.
 *
 * <p>Used on the event loop of the connection only. Passes on a {@code FullHttpRequest}, or a
 * {@link RefusedUpload} as soon as it is known that the body will not be read; what still comes of
 * such a body is discarded. Invariant: all memory of a body is covered by the budget.
 */
public final class RequestAssembler extends ChannelInboundHandlerAdapter {
    private final Uploads mUploads;
    private final int mMaxBodyBytes;
    private ChannelHandlerContext mContext;

    /** Head of the request whose body is arriving; null between requests and after a refusal. */
    private HttpRequest mHead;

    /** Null until the body has a byte. */
    private BudgetedBuffer mBody;

    private boolean mDiscarding;
    private long mDiscardedBytes;
    private long mLastProgressNanos;

    /** Creates the handler of one connection. */
    public RequestAssembler(Uploads uploads, int maxBodyBytes) {
        mUploads = uploads;
        mMaxBodyBytes = maxBodyBytes;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpRequest head) {
                onHead(head);
            }
            if (message instanceof HttpContent content) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onHead(HttpRequest head) {
        releaseBody();
        mDiscarding = false;
        mDiscardedBytes = 0;
        mHead = head;
        mLastProgressNanos = mUploads.nowNanos();
        if (head.decoderResult().isFailure()) {
            passOn(new DefaultHttpHeaders());
            mDiscarding = true;
            return;
        }
        long length = HttpUtil.getContentLength(head, -1L);
        if (length > mMaxBodyBytes) {
            refuse(RefusedUpload.Cause.TOO_LARGE);
            return;
        }
        if (length > BufferBudget.SMALL_BYTES) {
            mUploads.onBegun(this);
            mBody = new BudgetedBuffer(mUploads.budget());
            if (!mUploads.tryReserve(mBody, (int) length)) {
                refuse(RefusedUpload.Cause.NO_MEMORY);
                return;
            }
        }
        if (HttpUtil.is100ContinueExpected(head)) {
            head.headers().remove(HttpHeaderNames.EXPECT);
            mContext.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    private void onContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (mDiscarding) {
            mDiscardedBytes += content.content().readableBytes();
            // A caller that goes on although it was refused.
            if (mDiscardedBytes > mMaxBodyBytes) {
                mContext.close();
            }
            mDiscarding = !last;
            return;
        }
        if (mHead == null) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            mHead.setDecoderResult(content.decoderResult());
            passOn(new DefaultHttpHeaders());
            mDiscarding = true;
            return;
        }
        if (content.content().isReadable() && !append(content)) {
            return;
        }
        if (last) {
            passOn(((LastHttpContent) content).trailingHeaders());
        }
    }

    /** Appends to the body, or refuses the request and returns false. */
    private boolean append(HttpContent content) {
        mLastProgressNanos = mUploads.nowNanos();
        if (mBody == null) {
            mBody = new BudgetedBuffer(mUploads.budget());
        }
        if ((long) mBody.readableBytes() + content.content().readableBytes() > mMaxBodyBytes) {
            refuse(RefusedUpload.Cause.TOO_LARGE);
        } else if (!mBody.tryAppend(content.content())) {
            refuse(RefusedUpload.Cause.NO_MEMORY);
        }
        if (mDiscarding) {
            mDiscarding = !(content instanceof LastHttpContent);
            return false;
        }
        if (isReceivingLargeBody()) {
            mUploads.onBegun(this); // Its length was not announced.
        }
        return true;
    }

    private void passOn(HttpHeaders trailers) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        mHead.protocolVersion(),
                        mHead.method(),
                        mHead.uri(),
                        mBody == null ? Unpooled.EMPTY_BUFFER : mBody,
                        mHead.headers(),
                        trailers);
        request.setDecoderResult(mHead.decoderResult());
        mBody = null;
        mHead = null;
        mUploads.onEnded(this);
        mContext.fireChannelRead(request);
    }

    private void refuse(RefusedUpload.Cause cause) {
        HttpRequest head = mHead;
        mHead = null;
        mDiscarding = true;
        releaseBody();
        mContext.fireChannelRead(new RefusedUpload(head, cause));
    }

    /** Refuses the request whose body has stopped arriving, since others need the memory. */
    void refuseStalled() {
        refuse(RefusedUpload.Cause.STALLED);
        mContext.fireChannelReadComplete();
    }

    /** Returns whether the head of a request has arrived and the rest of its body is due. */
    public boolean isReceiving() {
        return mHead != null;
    }

    /** Returns whether more of a large body is due, or of one that is not read. */
    public boolean isReceivingLargeBody() {
        return mDiscarding || (mBody != null && mBody.readableBytes() > BufferBudget.SMALL_BYTES);
    }

    /** Returns when the last bytes of the request that is arriving came. */
    public long lastProgressNanos() {
        return mLastProgressNanos;
    }

    private void releaseBody() {
        mUploads.onEnded(this);
        if (mBody != null) {
            mBody.release();
            mBody = null;
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        releaseBody();
        super.channelInactive(context);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        releaseBody();
    }
}
