package org.jacinthwharf.process.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.jacinthwharf.connection.BudgetedBuffer;
import org.jacinthwharf.connection.BufferBudget;

/**
 * The answer to one attempt: its head, and its body unless that is streamed.
 *
 * <p>Used on the event loop only. Invariant: the body is released exactly once, by {@link
 * #release}.
 */
final class ServerAnswer {
    /**
     * Answers other than streams are buffered whole, so that a broken one can be retried; a larger
     * one fails.
     */
    private static final int MAX_BUFFERED_BYTES = 512 << 10;

    private static final int MISDIRECTED_REQUEST = 421;

    private final HttpResponse mHead;
    private final HeaderCodec.AnswerHeaders mHeaders;
    private final BufferBudget mBudget;
    private BudgetedBuffer mBody;

    ServerAnswer(HttpResponse head, HeaderCodec.AnswerHeaders headers, BufferBudget budget) {
        mHead = new DefaultHttpResponse(head.protocolVersion(), head.status(), head.headers());
        mHeaders = headers;
        mBudget = budget;
    }

    int status() {
        return mHead.status().code();
    }

    HeaderCodec.AnswerHeaders headers() {
        return mHeaders;
    }

    boolean isSuccess() {
        return mHead.status().codeClass() == HttpStatusClass.SUCCESS;
    }

    /** Returns whether the answer carries the request's id and the server's seal. */
    boolean hasIdAndSeal() {
        return mHeaders.requestId().isPresent() && mHeaders.sealed();
    }

    /** Returns whether another server answers than the one that the request was sent to. */
    boolean isMisdirected() {
        return status() == MISDIRECTED_REQUEST;
    }

    boolean isNotRun() {
        return mHeaders.notRun() || isMisdirected();
    }

    /** Returns whether only the close of the connection ends the body of a request that ran. */
    boolean endsWithConnection(HttpMethod method) {
        return !isNotRun()
                && !method.equals(HttpMethod.HEAD)
                && status() != HttpResponseStatus.NO_CONTENT.code()
                && status() != HttpResponseStatus.NOT_MODIFIED.code()
                && !HttpUtil.isContentLengthSet(mHead)
                && !HttpUtil.isTransferEncodingChunked(mHead);
    }

    /** Returns the first value of a header, or null if there is none. */
    String header(CharSequence name) {
        return mHead.headers().get(name);
    }

    /** Appends to the body; returns false if it is too large, or other bodies hold the memory. */
    boolean append(ByteBuf data) {
        if (mBody == null) {
            mBody = new BudgetedBuffer(mBudget);
        }
        return mBody.readableBytes() + data.readableBytes() <= MAX_BUFFERED_BYTES
                && mBody.tryAppend(data);
    }

    /** Takes ownership of a whole body. */
    void setBody(BudgetedBuffer body) {
        release();
        mBody = body;
    }

    /** Returns the head to pass on to the caller, without headers of the server's connection. */
    HttpResponse headForCaller() {
        return new DefaultHttpResponse(HttpVersion.HTTP_1_1, mHead.status(), headersForCaller());
    }

    /** Returns the whole answer to pass on to the caller; its body must be released. */
    FullHttpResponse toCallerAnswer() {
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                mHead.status(),
                mBody == null ? Unpooled.EMPTY_BUFFER : mBody.retain(),
                headersForCaller(),
                new DefaultHttpHeaders());
    }

    private HttpHeaders headersForCaller() {
        HttpHeaders headers = new DefaultHttpHeaders().set(mHead.headers());
        HopByHopHeaders.remove(headers);
        return headers;
    }

    void release() {
        if (mBody != null) {
            mBody.release();
            mBody = null;
        }
    }
}
