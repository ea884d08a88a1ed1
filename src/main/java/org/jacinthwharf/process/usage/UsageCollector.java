package org.jacinthwharf.process.usage;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jacinthwharf.process.duty.UsageSource;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.process.settings.DutySettings;
import org.jacinthwharf.wire.generated.CustomerCount;
import org.jacinthwharf.wire.generated.Hello;
import org.jacinthwharf.wire.generated.UsageReport;
import org.jacinthwharf.wire.generated.UsageWindow;

/**
 * Adds up the counts of all gateways at a control member.
 *
 * <p>Used on the event loop only. Invariants: each count of a gateway incarnation replaces its
 * earlier one, so that no request is added twice; the counts of a gateway that is lost stay; counts
 * of windows that are fixed, or older than a minute, are dropped.
 */
public final class UsageCollector implements UsageSource {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /**
     * Three reports: within this time after a start or a pause, a member has heard of every gateway
     * that it can reach, and a gateway that is silent for longer is lost or cut off.
     */
    private static final long HEARD_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Longer than a member without a pause goes without a report or a question of the driver. */
    private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /**
     * Part of the time in which a report is due for which gateways are waited for that are cut off,
     * or lost. The rest is needed by a new holder, which waits for 4/3 of the lease.
     */
    private static final double MAX_WAIT_PART = 0.5;

    /** Fixed windows whose counts are kept to notice what comes too late. */
    private static final int KEPT_FIXED_WINDOWS = 2;

    private final DutySettings mSettings;
    private final LongSupplier mNextWindow;
    private final FleetClock mClock;
    private final EventLoop mLoop;
    private final FleetMetrics mMetrics;
    private final Map<String, Gateway> mGateways = new HashMap<>();
    private long mAwakeSinceNanos;
    private long mActiveNanos;

    /** What one gateway incarnation has reported. */
    private static final class Gateway {
        final String mVm;
        final long mIncarnation;
        final TreeMap<Long, Map<String, Long>> mWindows = new TreeMap<>();
        long mSequence;
        long mCompleteWindow = Long.MIN_VALUE;
        long mHeardNanos;

        Gateway(String vm, long incarnation) {
            mVm = vm;
            mIncarnation = incarnation;
        }
    }

    /**
     * Creates a collector without counts.
     *
     * @param nextWindow returns the first window that is not fixed, by the replicated state
     */
    public UsageCollector(
            DutySettings settings,
            LongSupplier nextWindow,
            FleetClock clock,
            EventLoop loop,
            FleetMetrics metrics) {
        mSettings = settings;
        mNextWindow = nextWindow;
        mClock = clock;
        mLoop = loop;
        mMetrics = metrics;
        mAwakeSinceNanos = loop.nowNanos();
        mActiveNanos = mAwakeSinceNanos;
    }

    /** Records a report of a gateway. */
    public void onReport(Hello from, UsageReport report) {
        noteActivity();
        mClock.onReading(from.getVmId(), report.getWallMillis());
        long now = mLoop.nowNanos();
        String origin = from.getVmId() + "/" + from.getIncarnation();
        Gateway gateway = mGateways.computeIfAbsent(origin, o -> addIncarnation(from));
        gateway.mHeardNanos = now;
        if (report.getSequence() <= gateway.mSequence) {
            return;
        }
        gateway.mSequence = report.getSequence();
        gateway.mCompleteWindow = report.getCompleteWindow();
        long newest = windowAt(mClock.nowMillis()) + 1;
        for (UsageWindow window : report.getWindowsList()) {
            if (window.getWindow() <= newest) {
                merge(gateway, window);
            }
        }
        dropOld(gateway, newest);
        mGateways.values().removeIf(g -> now - g.mHeardNanos > keptNanos());
    }

    /** The end of an earlier incarnation at the same VM is certain, so that it is complete. */
    private Gateway addIncarnation(Hello from) {
        for (Gateway g : mGateways.values()) {
            if (g.mVm.equals(from.getVmId()) && g.mIncarnation < from.getIncarnation()) {
                g.mCompleteWindow = Long.MAX_VALUE;
            }
        }
        return new Gateway(from.getVmId(), from.getIncarnation());
    }

    private void merge(Gateway gateway, UsageWindow window) {
        Map<String, Long> counts = gateway.mWindows.get(window.getWindow());
        boolean fixed = window.getWindow() < mNextWindow.getAsLong();
        if (counts == null) {
            if (fixed) {
                return; // Sent again to a member that has forgotten it.
            }
            counts = new HashMap<>();
            gateway.mWindows.put(window.getWindow(), counts);
        }
        long late = 0;
        for (CustomerCount c : window.getCountsList()) {
            Long known = counts.put(c.getCustomer(), c.getRequests());
            late += c.getRequests() - (known == null ? 0 : known);
        }
        if (fixed && late > 0) {
            LOGGER.atInfo().log(
                    "event=usage_counted_too_late window=%d requests=%d", window.getWindow(), late);
            mMetrics.countEvent("usage_counted_too_late");
        }
    }

    private void dropOld(Gateway gateway, long newestWindow) {
        long oldest =
                Math.max(
                        mNextWindow.getAsLong() - KEPT_FIXED_WINDOWS,
                        newestWindow - UsageCounter.KEPT_WINDOWS);
        gateway.mWindows.headMap(oldest, false).clear();
    }

    private long keptNanos() {
        return TimeUnit.MILLISECONDS.toNanos(
                UsageCounter.KEPT_WINDOWS * mSettings.usageWindowMillis());
    }

    private long windowAt(long millis) {
        return Math.floorDiv(millis, mSettings.usageWindowMillis());
    }

    @Override
    public long fleetMillis() {
        return mClock.nowMillis();
    }

    @Override
    public Optional<UsageWindow> ready(long nextWindow) {
        noteActivity();
        long now = mClock.nowMillis();
        // Nothing is known of windows that gateways no longer keep.
        long window = Math.max(nextWindow, windowAt(now) - UsageCounter.KEPT_WINDOWS + 1);
        long end = (window + 1) * mSettings.usageWindowMillis();
        boolean waitsForLost = now < end + maxWaitMillis();
        if (now < end || isJustAwake() || !isComplete(window, waitsForLost)) {
            return Optional.empty();
        }
        TreeMap<String, Long> sums = new TreeMap<>();
        for (Gateway gateway : mGateways.values()) {
            gateway.mWindows
                    .getOrDefault(window, Map.of())
                    .forEach((customer, requests) -> sums.merge(customer, requests, Long::sum));
        }
        UsageWindow.Builder result = UsageWindow.newBuilder().setWindow(window);
        sums.forEach(
                (customer, requests) ->
                        result.addCounts(
                                CustomerCount.newBuilder()
                                        .setCustomer(customer)
                                        .setRequests(requests)));
        return Optional.of(result.build());
    }

    /**
     * Returns whether all gateways have completed a window. One that reports is waited for in any
     * case, since its next report has the counts; others only as long as the report can wait.
     */
    private boolean isComplete(long window, boolean waitsForLost) {
        long now = mLoop.nowNanos();
        return mGateways.values().stream()
                .filter(g -> waitsForLost || now - g.mHeardNanos <= HEARD_NANOS)
                .allMatch(g -> g.mCompleteWindow >= window);
    }

    private long maxWaitMillis() {
        return (long) (MAX_WAIT_PART * mSettings.usageDelayMillis());
    }

    /** The gateways have had no time to send what they keep. */
    private boolean isJustAwake() {
        return mLoop.nowNanos() - mAwakeSinceNanos < HEARD_NANOS;
    }

    /** Notices that the process was paused, so that reports may not have arrived. */
    private void noteActivity() {
        long now = mLoop.nowNanos();
        if (now - mActiveNanos > PAUSE_NANOS) {
            mAwakeSinceNanos = now;
        }
        mActiveNanos = now;
    }
}
