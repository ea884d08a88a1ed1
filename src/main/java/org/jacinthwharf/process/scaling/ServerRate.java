package org.jacinthwharf.process.scaling;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.process.scaling.Demand.DomainDemand;

/**
 * The requests a second that one server of a service bears in one failure domain, learned while
 * callers are turned away.
 *
 * <p>Slots do not tell this for engines: their prompts may keep them busy while slots are free. Not
 * thread-safe; has no clock of its own.
 */
final class ServerRate {
    /**
     * Part of the requests whose refusal shows that the servers are full; fewer have other causes.
     */
    private static final double MIN_UNMET_PART = 0.05;

    /** Fewer refused requests than this may be due to one caller. */
    private static final double MIN_UNMET_PER_SECOND = 1;

    /** Mean time in the queue, in seconds, that a server of a prefix cache may be worth. */
    private static final double NORMAL_WAIT_SECONDS = 0.2;

    /** Part of its highest rate that a server is given; the rest is for bursts. */
    private static final double PLANNED_PART = 0.8;

    /**
     * Bound on the planned servers for each present one: the requests asked include repeats of
     * refused ones, and a service whose servers all fail is not helped by more.
     */
    private static final double MAX_GROWTH = 4;

    /**
     * Part of the usual running requests that a server must run for refusals to count: servers that
     * fail at once run few, and more of them do not help.
     */
    private static final double MIN_LOAD_PART = 0.5;

    /**
     * Growth of the learned rate for each second without refusals, since requests may have become
     * cheaper. Slow, because the servers are full again when it has grown too far.
     */
    private static final double FORGETTING = 1.001;

    /** Growth while servers run few requests: they were slow for a while and are no longer. */
    private static final double IDLE_FORGETTING = 1.02;

    /** Part of the requests of a full server with which it counts as one that runs few. */
    private static final double IDLE_PART = 0.4;

    /**
     * Rates are those of the last two to three seconds; servers must have been there throughout.
     */
    private static final long COUNT_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Part of the most servers of that time that must have been there throughout. */
    private static final double STEADY_PART = 0.75;

    private final Deque<Count> mCounts = new ArrayDeque<>();
    private double mPerServer = Double.POSITIVE_INFINITY;

    /** Whether callers were turned away by servers that had work, at the last observation. */
    private boolean mFull;

    /** Running requests of a server when the servers were full last. */
    private double mFullRunning;

    /** The most running requests of a server without refusals, slowly forgotten. */
    private double mUsualRunning;

    private record Count(long nanos, int servers) {}

    /**
     * Records the demand and the warm servers; called once a second.
     *
     * @return whether the servers are full
     */
    boolean onDemand(DomainDemand demand, int warm, long nowNanos) {
        mCounts.addLast(new Count(nowNanos, warm));
        while (nowNanos - mCounts.getFirst().nanos() > COUNT_NANOS) {
            mCounts.removeFirst();
        }
        int least = least();
        int most = mCounts.stream().mapToInt(Count::servers).max().orElse(0);
        if (least == 0) {
            mFull = false;
            return false;
        }
        double unmet = unmet(demand);
        boolean turnsAway = unmet > MIN_UNMET_PER_SECOND && unmet > MIN_UNMET_PART * demand.asked();
        double running = (double) demand.running() / least;
        boolean full = turnsAway && running >= MIN_LOAD_PART * mUsualRunning;
        mFull = full;
        if (full) {
            // Servers that came or went a moment ago did not serve at the measured rate.
            if (least >= STEADY_PART * most || Double.isInfinite(mPerServer)) {
                mPerServer = demand.begun() / most;
            }
            mFullRunning = running;
        } else if (!turnsAway) {
            boolean idle = (double) demand.running() / most < IDLE_PART * mFullRunning;
            double grown = mPerServer * (idle ? IDLE_FORGETTING : FORGETTING);
            mPerServer = Math.max(grown, demand.begun() / most);
            mUsualRunning = Math.max(mUsualRunning / FORGETTING, (double) demand.running() / most);
        }
        return full;
    }

    private int least() {
        return mCounts.stream().mapToInt(Count::servers).min().orElse(0);
    }

    /** Requests a second that found no server, or would have to wait for long. */
    private static double unmet(DomainDemand demand) {
        double queued = demand.waiting() - NORMAL_WAIT_SECONDS * demand.asked();
        return demand.refused() + Math.max(0, queued);
    }

    /** Returns the servers that bear the demand; empty if no server was ever full. */
    OptionalDouble servers(DomainDemand demand) {
        if (Double.isInfinite(mPerServer)) {
            return OptionalDouble.empty();
        }
        double wanted = Math.max(demand.asked(), demand.begun() + unmet(demand));
        double most = MAX_GROWTH * Math.max(1, least());
        double servers = wanted == 0 ? 0 : wanted / (PLANNED_PART * mPerServer);
        if (mFull) {
            servers = Math.max(servers, least() + 1);
        }
        return OptionalDouble.of(Math.min(most, servers));
    }
}
