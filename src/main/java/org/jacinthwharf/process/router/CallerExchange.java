package org.jacinthwharf.process.router;

import com.google.protobuf.ByteString;
import java.util.Map;
import org.jacinthwharf.process.metrics.RefusalReason;

/**
 * The answer side of one request.
 *
 * <p>Called on the event loop only. Invariant: exactly one of {@link #refuse}, {@link #answer},
 * {@link #endStream} and {@link #abort} has an effect, the first one called.
 */
interface CallerExchange {
    /**
     * Ends the request with a refusal.
     *
     * @param notRun true only if it is proven that the request did not run
     */
    void refuse(RefusalReason reason, boolean notRun, String detail);

    /** Ends the request with a whole answer. */
    void answer(int status, String contentType, Map<String, String> headers, ByteString body);

    /** Starts a stream of server-sent events. */
    void startStream();

    /**
     * Writes a part of the stream.
     *
     * @param whenWritten runs on the event loop when the part has left the process; not run if the
     *     caller is gone
     */
    void write(ByteString part, Runnable whenWritten);

    /** Ends the stream after all parts. */
    void endStream();

    /** Closes the connection without an end, so that the caller sees that the answer is cut. */
    void abort();

    /** Returns whether the answer has ended or the caller is gone. */
    boolean isEnded();

    /** Sets what runs on the event loop when the caller goes before the answer has ended. */
    void onCallerGone(Runnable action);
}
