package org.jacinthwharf.process.router;

import com.google.protobuf.ByteString;
import org.eclipse.jetty.http.HttpFields;

/**
 * Receives what becomes of one attempt at a backend server, on the event loop.
 *
 * <p>Exactly one of {@link #onEnd} and {@link #onFailed} is called, as the last call.
 */
interface AttemptListener {
    /** Called when the status line and headers of the answer are complete. */
    void onHead(int status, HttpFields headers);

    /**
     * Called for each part of the answer.
     *
     * @param readMore lets the next part be read; run it when the part is dealt with
     */
    void onContent(ByteString part, Runnable readMore);

    /** Called when the answer is complete by the framing of HTTP. */
    void onEnd();

    /**
     * Called when the attempt failed.
     *
     * @param written false only if no byte of the request was handed to a connection
     */
    void onFailed(boolean written, Throwable cause);
}
