package org.jacinthwharf.standin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Writes one stream of server-sent events: one event per token, then an end event.
 *
 * <p>Writes run one after another on the threads of the timer. Event ids count from 1; the end
 * event states the number of token events.
 */
final class StandInStream {
    private final Response mResponse;
    private final Callback mCallback;
    private final ScheduledExecutorService mTimer;
    private final long mTokenMillis;
    private final String mPrompt;
    private final int mTokens;

    StandInStream(
            Response response,
            Callback callback,
            ScheduledExecutorService timer,
            long tokenMillis,
            String prompt,
            int tokens) {
        mResponse = response;
        mCallback = callback;
        mTimer = timer;
        mTokenMillis = tokenMillis;
        mPrompt = prompt;
        mTokens = tokens;
    }

    /** Writes tokens from index {@code next}; closes the connection before token {@code cut}. */
    void writeFrom(int next, int cut) {
        if (next >= cut) {
            mCallback.failed(new IllegalStateException("stream cut by the injected fault"));
        } else if (next >= mTokens) {
            String end =
                    "id: "
                            + (mTokens + 1)
                            + "\nevent: end\ndata: {\"events\":"
                            + mTokens
                            + ",\"cost\":"
                            + mTokens
                            + "}\n\n";
            mResponse.write(true, bytes(end), mCallback);
        } else {
            String event =
                    "id: "
                            + (next + 1)
                            + "\nevent: token\ndata: {\"text\":\""
                            + StandInText.token(mPrompt, next)
                            + "\"}\n\n";
            mResponse.write(
                    false,
                    bytes(event),
                    Callback.from(() -> scheduleFrom(next + 1, cut), mCallback::failed));
        }
    }

    private void scheduleFrom(int next, int cut) {
        if (mTokenMillis == 0) {
            writeFrom(next, cut);
        } else {
            mTimer.schedule(() -> writeFrom(next, cut), mTokenMillis, TimeUnit.MILLISECONDS);
        }
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }
}
