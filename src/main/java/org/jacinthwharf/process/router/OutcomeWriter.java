package org.jacinthwharf.process.router;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.Optional;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.process.metrics.RefusalReason;
import org.jacinthwharf.request.outcome.RequestOutcome;
import org.jacinthwharf.wire.generated.StoredAnswer;

/**
 * Writes the outcome of one request to its caller.
 *
 * <p>Used on the event loop only. Invariant: the caller receives one outcome, or none if it
 * disconnects first.
 */
final class OutcomeWriter {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final CallerRequest mRequest;
    private final CallerExchange mExchange;
    private final FleetMetrics mMetrics;
    private boolean mAnswered;

    OutcomeWriter(CallerRequest request, CallerExchange exchange, FleetMetrics metrics) {
        mRequest = request;
        mExchange = exchange;
        mMetrics = metrics;
    }

    /** Returns whether the caller has been answered or has disconnected. */
    boolean isAnswered() {
        return mAnswered;
    }

    /** Records that the caller has disconnected and needs no outcome. */
    void onCallerDisconnected() {
        mAnswered = true;
    }

    /**
     * Writes the outcome to the caller.
     *
     * @param receiver receiver of the last attempt, if there was one
     * @param streaming whether events have been streamed to the caller
     * @param seconds time since the arrival of the request
     */
    void write(
            RequestOutcome outcome,
            Optional<AttemptReceiver> receiver,
            boolean streaming,
            double seconds) {
        mAnswered = true;
        if (outcome instanceof RequestOutcome.Answer) {
            writeServerAnswer(receiver.orElseThrow(), streaming);
        } else if (outcome instanceof RequestOutcome.EarlierAnswer e) {
            writeEarlierAnswer(e.answer());
        } else if (outcome instanceof RequestOutcome.NotRun n) {
            refuse(n.reason(), true, streaming);
        } else if (outcome instanceof RequestOutcome.Unknown u) {
            refuse(u.reason(), false, streaming);
        }
        String name = outcome.getClass().getSimpleName();
        mMetrics.observeRequest(mRequest.stream() ? "stream" : "whole", name, seconds);
        LOGGER.atFine().log(
                "event=request_ended request=%s customer=%s outcome=%s seconds=%.3f",
                mRequest.id(), mRequest.customer(), name, seconds);
    }

    private void writeServerAnswer(AttemptReceiver receiver, boolean streaming) {
        if (streaming) {
            mExchange.endStream();
            return;
        }
        boolean retryable = mRequest.idempotent() || mRequest.key().isPresent();
        Map<String, String> headers =
                retryable
                        ? Map.of(RequestHeaders.REQUEST_ID, mRequest.callerId())
                        : Map.of(
                                RequestHeaders.REQUEST_ID,
                                mRequest.callerId(),
                                RequestHeaders.REQUEST_KEY,
                                "none");
        mExchange.answer(receiver.status(), receiver.contentType(), headers, receiver.body());
    }

    private void writeEarlierAnswer(StoredAnswer stored) {
        mExchange.answer(
                stored.getStatus(),
                stored.getContentType(),
                Map.of("X-Answer-Kept", Boolean.toString(stored.getBodyKept())),
                stored.getBody());
    }

    private void refuse(RefusalReason reason, boolean notRun, boolean streaming) {
        mMetrics.countRefusal(reason);
        if (streaming) {
            // The caller can resume from the id of the last event that it received.
            mExchange.abort();
        } else {
            mExchange.refuse(reason, notRun, "request " + mRequest.callerId());
        }
    }
}
