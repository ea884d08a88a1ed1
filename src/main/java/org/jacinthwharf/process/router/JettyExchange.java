package org.jacinthwharf.process.router;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Queue;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.metrics.RefusalReason;

/**
 * Writes the answer to one request on a Jetty connection.
 *
 * <p>Used on the event loop only; Jetty's callbacks are posted to it. Invariants: at most one write
 * is in flight; Jetty's callback is completed once.
 */
final class JettyExchange implements CallerExchange {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Request mRequest;
    private final Response mResponse;
    private final Callback mCallback;
    private final EventLoop mLoop;
    private final BooleanSupplier mDraining;
    private final Queue<Chunk> mChunks = new ArrayDeque<>();
    private Runnable mDisconnectHandler = () -> {};
    private boolean mWriting;
    private boolean mEnded;

    /** One write; {@code last} ends the answer. */
    private record Chunk(ByteString bytes, boolean last, Runnable whenWritten) {}

    JettyExchange(
            Request request,
            Response response,
            Callback callback,
            EventLoop loop,
            BooleanSupplier draining) {
        mRequest = request;
        mResponse = response;
        mCallback = callback;
        mLoop = loop;
        mDraining = draining;
    }

    @Override
    public void refuse(RefusalReason reason, boolean notRun, String detail) {
        if (mEnded) {
            return;
        }
        String outcome = notRun ? "not_run" : "unknown";
        ObjectNode body = JSON.createObjectNode();
        body.put("reason", reason.code()).put("outcome", outcome).put("detail", detail);
        LOGGER.atInfo().log(
                "event=request_refused reason=%s outcome=%s detail='%s'",
                reason.code(), outcome, detail);
        if (reason.status() == 429 || reason.status() == 503) {
            mResponse.getHeaders().put(HttpHeader.RETRY_AFTER, "1");
        }
        answer(
                reason.status(),
                "application/json",
                Map.of(RequestHeaders.OUTCOME, outcome),
                ByteString.copyFromUtf8(body.toString()));
    }

    @Override
    public void answer(
            int status, String contentType, Map<String, String> headers, ByteString body) {
        if (mEnded) {
            return;
        }
        mResponse.setStatus(status);
        headers.forEach(mResponse.getHeaders()::put);
        if (!contentType.isEmpty()) {
            mResponse.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        }
        mResponse.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.size());
        closeConnectionWhenDraining();
        end(body);
    }

    @Override
    public void startStream() {
        mResponse.setStatus(200);
        mResponse.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
        mResponse.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-cache");
        closeConnectionWhenDraining();
    }

    /** Closes the connection after the answer; required if the body was not read in full. */
    void closeAfterAnswer() {
        mResponse.getHeaders().put(HttpHeader.CONNECTION, "close");
    }

    /** Prevents callers from sending further requests on a connection that is about to close. */
    private void closeConnectionWhenDraining() {
        if (mDraining.getAsBoolean()) {
            closeAfterAnswer();
        }
    }

    @Override
    public void write(ByteString chunk, Runnable whenWritten) {
        if (!mEnded) {
            mChunks.add(new Chunk(chunk, false, whenWritten));
            writeNext();
        }
    }

    @Override
    public void endStream() {
        if (!mEnded) {
            end(ByteString.EMPTY);
        }
    }

    private void end(ByteString lastChunk) {
        mEnded = true;
        mChunks.add(new Chunk(lastChunk, true, () -> {}));
        writeNext();
    }

    @Override
    public void abort() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mChunks.clear();
        // The missing final chunk tells the caller that the answer is truncated.
        mCallback.failed(new IllegalStateException("answer cut"));
        mRequest.getConnectionMetaData().getConnection().getEndPoint().close();
    }

    @Override
    public boolean isEnded() {
        return mEnded;
    }

    @Override
    public void setDisconnectHandler(Runnable handler) {
        mDisconnectHandler = handler;
    }

    private void writeNext() {
        if (mWriting || mChunks.isEmpty()) {
            return;
        }
        Chunk chunk = mChunks.remove();
        mWriting = true;
        ByteBuffer buffer = chunk.bytes().asReadOnlyByteBuffer();
        mResponse.write(
                chunk.last(),
                buffer,
                Callback.from(
                        () -> mLoop.execute(() -> onWritten(chunk)),
                        failure -> mLoop.execute(() -> onWriteFailed(failure))));
    }

    private void onWritten(Chunk chunk) {
        mWriting = false;
        chunk.whenWritten().run();
        if (chunk.last()) {
            mCallback.succeeded();
        } else {
            writeNext();
        }
    }

    private void onWriteFailed(Throwable failure) {
        LOGGER.atFine().log("event=caller_gone cause='%s'", failure);
        mChunks.clear();
        boolean wasEnded = mEnded;
        mEnded = true;
        mCallback.failed(failure);
        if (!wasEnded) {
            mDisconnectHandler.run();
        }
    }
}
