package org.jacinthwharf.process.router;

import com.google.protobuf.ByteString;
import java.util.Map;
import org.jacinthwharf.process.metrics.RefusalReason;

/**
 * Writes the answer to one request of a caller.
 *
 * <p>Called on the event loop only. Invariant: only the first call of {@link #refuse}, {@link
 * #answer}, {@link #endStream} and {@link #abort} has an effect; later calls of them are ignored,
 * and so are those after the caller has disconnected. After {@link #startStream}, only {@link
 * #endStream} and {@link #abort} may end the answer.
 */
interface CallerExchange {
    /**
     * Ends the request with a refusal.
     *
     * @param notRun true only if the request provably did not run
     */
    void refuse(RefusalReason reason, boolean notRun, String detail);

    /** Ends the request with a complete answer. */
    void answer(int status, String contentType, Map<String, String> headers, ByteString body);

    /** Starts a stream of server-sent events. */
    void startStream();

    /**
     * Writes a chunk of the stream.
     *
     * @param whenWritten runs on the event loop when the chunk has been written to the connection;
     *     does not run if the caller has disconnected
     */
    void write(ByteString chunk, Runnable whenWritten);

    /** Ends the stream after all chunks have been written. */
    void endStream();

    /** Closes the connection without ending the answer, so that the caller detects truncation. */
    void abort();

    /** Returns whether the answer has ended or the caller has disconnected. */
    boolean isEnded();

    /**
     * Sets the handler to run on the event loop if the caller disconnects before the answer ends.
     */
    void setDisconnectHandler(Runnable handler);
}
