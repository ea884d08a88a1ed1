package org.jacinthwharf.process.router;

import com.google.protobuf.ByteString;
import org.eclipse.jetty.http.HttpFields;

/**
 * Receives the answer to one attempt to send a request to a backend server, on the event loop.
 *
 * <p>The last call is either {@link #onEnd} or {@link #onFailed}; a finished listener gets no
 * further content.
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

    /** Returns whether the rest of the answer is of no use; the connection is then closed. */
    boolean isFinished();

    /** Called when the answer is complete according to HTTP framing. */
    void onEnd();

    /**
     * Called when the attempt failed.
     *
     * @param requestMayHaveBeenSent whether any byte of the request may have been sent
     */
    void onFailed(boolean requestMayHaveBeenSent, Throwable cause);
}
