package org.jacinthwharf.process.router;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.lang.reflect.Proxy;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpFields;
import org.jacinthwharf.process.loop.NettyEventLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an aborted attempt that holds its connection and its call for ever, since the HTTP
 * client has lost the abort.
 */
final class OpenAttemptsTest {
    private final NettyEventLoop mLoop = new NettyEventLoop("test", e -> {});
    private final OpenAttempts mAttempts = new OpenAttempts(mLoop);
    private final CompletableFuture<Void> mClosed = new CompletableFuture<>();
    private final Listener mListener = new Listener();

    /** Records the failures of an attempt. */
    private static final class Listener implements AttemptListener {
        private final CompletableFuture<Throwable> mFailure = new CompletableFuture<>();
        private final AtomicInteger mFailures = new AtomicInteger();

        @Override
        public void onHeaders(int status, HttpFields headers) {}

        @Override
        public void onContent(ByteString chunk, Runnable readMore) {}

        @Override
        public boolean isFinished() {
            return false;
        }

        @Override
        public void onEnd() {}

        @Override
        public void onFailed(boolean requestMayHaveBeenSent, Throwable cause) {
            assertThat(requestMayHaveBeenSent).isTrue();
            mFailures.incrementAndGet();
            mFailure.complete(cause);
        }
    }

    @AfterEach
    void stop() {
        mLoop.close();
    }

    /** Returns an object whose methods return the given values, by name. */
    private static <T> T stub(Class<T> type, Map<String, Runnable> calls, Map<String, ?> values) {
        return type.cast(
                Proxy.newProxyInstance(
                        type.getClassLoader(),
                        new Class<?>[] {type},
                        (self, method, arguments) -> {
                            calls.getOrDefault(method.getName(), () -> {}).run();
                            return values.get(method.getName());
                        }));
    }

    private Request request(Map<String, ?> values) {
        return stub(Request.class, Map.of(), values);
    }

    private Connection connection() {
        return stub(Connection.class, Map.of("close", () -> mClosed.complete(null)), Map.of());
    }

    @Test
    void attemptWhoseAbortIsLostEndsOnce() throws Exception {
        Throwable cause = new IllegalStateException("timeout");
        OpenAttempts.OpenAttempt attempt =
                mAttempts.add(
                        request(Map.of("getAbortCause", cause, "getConnection", connection())),
                        mListener);
        mClosed.get(5, TimeUnit.SECONDS);
        assertThat(mListener.mFailure.get(5, TimeUnit.SECONDS)).isSameInstanceAs(cause);
        assertThat(attempt.end()).isFalse();
        assertThat(mListener.mFailures.get()).isEqualTo(1);
    }

    @Test
    void attemptsThatGoOnOrHaveEndedAreLeftAlone() throws Exception {
        mAttempts.add(request(Map.of("getConnection", connection())), mListener);
        OpenAttempts.OpenAttempt ended =
                mAttempts.add(
                        request(Map.of("getAbortCause", new IllegalStateException("timeout"))),
                        mListener);
        assertThat(ended.end()).isTrue();
        Listener other = new Listener();
        // Its end comes after the time at which the others would have ended.
        mAttempts.add(request(Map.of("getAbortCause", new IllegalStateException("other"))), other);
        assertThat(other.mFailure.get(5, TimeUnit.SECONDS)).hasMessageThat().isEqualTo("other");
        assertThat(mListener.mFailures.get()).isEqualTo(0);
        assertThat(mClosed.isDone()).isFalse();
    }
}
