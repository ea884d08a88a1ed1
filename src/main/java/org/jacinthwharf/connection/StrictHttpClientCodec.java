package org.jacinthwharf.connection;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.jacinthwharf.id.LogText;

/**
 * Encodes requests and decodes answers, as Netty's own client codec does, but decodes no answer
 * whose head is malformed or names a transfer coding other than chunked.
 *
 * <p>Used on the event loop of its channel only. Invariants: the decoder result of such a head,
 * informational ones included, is a failure; at most one request is in flight.
 */
public final class StrictHttpClientCodec
        extends CombinedChannelDuplexHandler<HttpResponseDecoder, HttpRequestEncoder> {
    /** Method of the request in flight, which decides whether its answer has a body. */
    private HttpMethod mMethod = HttpMethod.GET;

    /** Creates a codec for one connection. */
    public StrictHttpClientCodec(HttpDecoderConfig config) {
        init(new Decoder(config), new Encoder());
    }

    private final class Encoder extends HttpRequestEncoder {
        @Override
        protected void encode(ChannelHandlerContext context, Object message, List<Object> out)
                throws Exception {
            if (message instanceof HttpRequest request) {
                mMethod = request.method();
            }
            super.encode(context, message, out);
        }
    }

    private final class Decoder extends HttpResponseDecoder {
        /** What the superclass has consumed of the head that it is decoding. */
        private StringBuilder mHead = new StringBuilder();

        private final int mMaxHeadBytes;
        private boolean mInHead = true;

        Decoder(HttpDecoderConfig config) {
            super(config);
            // The limit of the superclass does not count line ends.
            mMaxHeadBytes = config.getMaxInitialLineLength() + 2 * config.getMaxHeaderSize();
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
                throws Exception {
            int start = in.readerIndex();
            int decoded = out.size();
            super.decode(context, in, out);
            if (mInHead) {
                // The superclass decodes what follows a head in another call.
                int length = in.readerIndex() - start;
                mHead.append(in.toString(start, length, StandardCharsets.ISO_8859_1));
                if (mHead.length() > mMaxHeadBytes) {
                    throw new TooLongHttpHeaderException("head exceeds " + mMaxHeadBytes);
                }
            }
            for (Object message : out.subList(decoded, out.size())) {
                onDecoded(message);
            }
        }

        private void onDecoded(Object message) {
            if (message instanceof HttpResponse head) {
                mInHead = false;
                if (head.decoderResult().isSuccess()) {
                    findDefect(head)
                            .map(IllegalArgumentException::new)
                            .ifPresent(e -> head.setDecoderResult(DecoderResult.failure(e)));
                }
                mHead = new StringBuilder();
            }
            if (message instanceof LastHttpContent) {
                mInHead = true;
            }
        }

        private Optional<String> findDefect(HttpResponse head) {
            List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
            return HeadSyntax.isDecodable(codings)
                    ? HeadSyntax.findDefect(mHead.toString())
                    : Optional.of("unknown transfer codings " + LogText.of(codings.toString()));
        }

        // Answers without a body, see RFC 9112, section 6.3.
        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            boolean tunnel =
                    mMethod.equals(HttpMethod.CONNECT)
                            && ((HttpResponse) message).status().codeClass()
                                    == HttpStatusClass.SUCCESS;
            return tunnel || mMethod.equals(HttpMethod.HEAD) || super.isContentAlwaysEmpty(message);
        }
    }
}
