package org.jacinthwharf.process.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.request.dispatch.BackendServer;

/**
 * Applies what backend servers say about themselves in the heads of their answers.
 *
 * <p>Used on the event loop only. Invariant: an answer to a misdirected request changes nothing,
 * since it is that of another server than the one that the request was sent to.
 */
final class ServerStatements {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int SERVICE_UNAVAILABLE = 503;

    private final LoadExchange mLoadExchange;
    private final EventLoop mLoop;

    ServerStatements(LoadExchange loadExchange, EventLoop loop) {
        mLoadExchange = loadExchange;
        mLoop = loop;
    }

    /** Applies the head of an answer to a request that was sent to the server. */
    void onAnswer(BackendServer server, ServerAnswer answer) {
        if (answer.isMisdirected()) {
            return;
        }
        HeaderCodec.AnswerHeaders headers = answer.headers();
        long now = mLoop.nowNanos();
        headers.coldMillis()
                .ifPresent(m -> server.setColdUntil(now + TimeUnit.MILLISECONDS.toNanos(m)));
        mLoadExchange.onRateLimit(server, headers.rateLimit());
        if (headers.leaving() && server.setLeaving()) {
            LOGGER.atInfo().log("event=server_leaving server=%s", server);
        }
        OptionalLong pause = headers.retryAfterMillis();
        if (answer.status() == SERVICE_UNAVAILABLE && pause.isPresent()) {
            server.pauseUntil(now + TimeUnit.MILLISECONDS.toNanos(pause.getAsLong()));
            LOGGER.atInfo().log(
                    "event=server_paused server=%s millis=%d", server, pause.getAsLong());
        }
    }
}
