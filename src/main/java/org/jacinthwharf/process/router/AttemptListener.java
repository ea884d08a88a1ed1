package org.jacinthwharf.process.router;

import com.google.protobuf.ByteString;
import org.eclipse.jetty.http.HttpFields;

/**
 * Receives the answer to one attempt at a backend server, on the event loop.
 *
 * <p>Exactly one of {@link #onEnd} and {@link #onFailed} is called, as the last call.
 */
interface AttemptListener {
    /** Called when the status line and all headers have arrived. */
    void onHeaders(int status, HttpFields headers);

    /**
     * Called for each chunk of the body.
     *
     * @param readMore requests the next chunk; run it when this chunk has been processed
     */
    void onContent(ByteString chunk, Runnable readMore);

    /** Called when the answer is complete according to HTTP framing. */
    void onEnd();

    /**
     * Called when the attempt failed.
     *
     * @param written false only if no byte of the request was passed to a connection
     */
    void onFailed(boolean written, Throwable cause);
}
