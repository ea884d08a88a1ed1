package org.jacinthwharf.request.dispatch;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * The request rate that a backend server names in its answers, as seen by this gateway and by the
 * others.
 *
 * <p>Not thread-safe. Invariant: the newest statement counts, and one's own if both are about as
 * old, since the time of another gateway's statement is known less exactly.
 */
final class NamedRate {
    /** Uncertainty of the time of another gateway's statement, which includes that of its way. */
    private static final long FLEET_UNCERTAINTY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Time for which gateways tell each other that a server no longer names a rate. */
    private static final long ENDED_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** A rate that no answer has confirmed for this long is forgotten. */
    private static final long LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(30);

    private static final Statement NONE = new Statement(OptionalDouble.empty(), Long.MIN_VALUE / 2);

    private Statement mOwn = NONE;
    private Statement mFleet = NONE;
    private long mEndedNanos = Long.MIN_VALUE / 2;

    /**
     * What a server named in an answer.
     *
     * @param rate requests a second from all gateways together, empty if it named none
     * @param nanos when the answer arrived
     */
    record Statement(OptionalDouble rate, long nanos) {}

    /** Records an answer to this gateway; returns whether the rate changed. */
    boolean onAnswer(OptionalDouble rate, long nowNanos) {
        OptionalDouble before = rate(nowNanos);
        if (before.isPresent() && rate.isEmpty()) {
            mEndedNanos = nowNanos;
        }
        mOwn = new Statement(rate, nowNanos);
        return !before.equals(rate);
    }

    /** Records the newest statement to any gateway; returns whether the rate changed. */
    boolean onFleet(Statement statement, long nowNanos) {
        if (statement.nanos() <= mFleet.nanos()) {
            return false;
        }
        OptionalDouble before = rate(nowNanos);
        mFleet = statement;
        return !before.equals(rate(nowNanos));
    }

    private Statement newest() {
        return mFleet.nanos() > mOwn.nanos() + FLEET_UNCERTAINTY_NANOS ? mFleet : mOwn;
    }

    /** Returns the requests a second that the server takes from all gateways together. */
    OptionalDouble rate(long nowNanos) {
        Statement newest = newest();
        return nowNanos - newest.nanos() > LIFETIME_NANOS ? OptionalDouble.empty() : newest.rate();
    }

    /** Returns this gateway's own statement, if the others need to know it. */
    Optional<Statement> toShare(long nowNanos) {
        boolean ended = mOwn.rate().isEmpty() && nowNanos - mEndedNanos > ENDED_NANOS;
        boolean old = nowNanos - mOwn.nanos() > LIFETIME_NANOS;
        return ended || old || newest() != mOwn ? Optional.empty() : Optional.of(mOwn);
    }
}
