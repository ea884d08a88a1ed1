package org.jacinthwharf.version;

import com.google.common.collect.ImmutableSortedSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.LocalStop;
import org.jacinthwharf.wire.generated.RouteEvidence;
import org.jacinthwharf.wire.generated.VersionEvidence;

/**
 * Aggregates the request counts that routers report for each version.
 *
 * <p>Invariant: each request counts once even if reports are lost, duplicated or late, since
 * routers report cumulative totals and the aggregator adds their increments. Requests that a router
 * counted before the aggregator was created are excluded, so a new leader evaluates only evidence
 * of its own term. Not thread-safe.
 */
public final class EvidenceAggregator {
    /** Longest request duration; a router silent for this long has no running requests left. */
    private static final long MAX_REQUEST_NANOS = 120_000_000_000L;

    private static final int WINDOW_SECONDS = 60;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** Bounds the memory that routers can fill with stops of any moves; the oldest go first. */
    private static final int MAX_LOCAL_STOPS = 1_000;

    private record Key(String model, String version, String route) {}

    private static final class RouterReports {
        long mIncarnation;
        long mSequence;
        long mLastReceivedNanos;
        final Map<Key, RouteEvidence> mLastReports = new HashMap<>();
        boolean mBaselinePending;
    }

    private static final class VersionCounts {
        final RequestCounts mTotal = new RequestCounts();
        final RequestCounts[] mPerSecond = new RequestCounts[WINDOW_SECONDS];
        final long[] mSeconds = new long[WINDOW_SECONDS];
    }

    private final long mCreatedMillis;
    private final Map<VmId, RouterReports> mReportsByVm = new HashMap<>();
    private final Map<Key, VersionCounts> mCounts = new HashMap<>();
    private final Map<String, String> mLocalStops =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
                    return size() > MAX_LOCAL_STOPS;
                }
            };

    /** Creates an empty aggregator; first reports of routers started before then are baselines. */
    public EvidenceAggregator(long nowMillis) {
        mCreatedMillis = nowMillis;
    }

    /** Records a report; returns false if it is malformed, late or a duplicate. */
    public boolean record(VersionEvidence evidence, long nowNanos) {
        Optional<VmId> vm = VmId.parse(evidence.getRouter());
        if (vm.isEmpty() || evidence.getRouterIncarnation() < 0) {
            return false;
        }
        return record(
                RouterIncarnation.of(vm.get(), evidence.getRouterIncarnation()),
                evidence,
                nowNanos);
    }

    private boolean record(RouterIncarnation router, VersionEvidence evidence, long nowNanos) {
        RouterReports reports = mReportsByVm.get(router.vm());
        if (reports == null || reports.mIncarnation < router.incarnation()) {
            boolean firstOfVm = reports == null;
            reports = new RouterReports();
            reports.mIncarnation = router.incarnation();
            reports.mSequence = -1;
            reports.mBaselinePending = firstOfVm && router.incarnation() < mCreatedMillis;
            mReportsByVm.put(router.vm(), reports);
        } else if (reports.mIncarnation > router.incarnation()
                || evidence.getSequence() <= reports.mSequence) {
            return false;
        }
        reports.mSequence = evidence.getSequence();
        reports.mLastReceivedNanos = nowNanos;
        for (RouteEvidence route : evidence.getRoutesList()) {
            Key key = new Key(route.getModel(), route.getVersion(), route.getRoute());
            RouteEvidence before = reports.mLastReports.put(key, route);
            if (!reports.mBaselinePending) {
                add(
                        key,
                        before == null ? RouteEvidence.getDefaultInstance() : before,
                        route,
                        nowNanos);
            }
        }
        reports.mBaselinePending = false;
        for (LocalStop stop : evidence.getStopsList()) {
            mLocalStops.putIfAbsent(stop.getMoveId(), router.vm() + ": " + stop.getReason());
        }
        return true;
    }

    private void add(Key key, RouteEvidence before, RouteEvidence after, long nowNanos) {
        VersionCounts counts = mCounts.computeIfAbsent(key, ignored -> new VersionCounts());
        counts.mTotal.addDelta(before, after);
        long second = Math.floorDiv(nowNanos, NANOS_PER_SECOND);
        int slot = (int) Math.floorMod(second, (long) WINDOW_SECONDS);
        if (counts.mPerSecond[slot] == null || counts.mSeconds[slot] != second) {
            counts.mPerSecond[slot] = new RequestCounts();
            counts.mSeconds[slot] = second;
        }
        counts.mPerSecond[slot].addDelta(before, after);
    }

    /**
     * Returns the counts since the aggregator was created, over all routes if {@code route} is
     * empty.
     */
    RequestCounts total(String model, String version, Optional<String> route) {
        RequestCounts sum = new RequestCounts();
        mCounts.forEach(
                (key, counts) -> {
                    if (matches(key, model, version, route)) {
                        sum.add(counts.mTotal);
                    }
                });
        return sum;
    }

    /** Returns the counts of the last {@code seconds} seconds, at most 60. */
    RequestCounts recent(
            String model, String version, Optional<String> route, int seconds, long nowNanos) {
        long first = Math.floorDiv(nowNanos, NANOS_PER_SECOND) - seconds + 1;
        RequestCounts sum = new RequestCounts();
        mCounts.forEach(
                (key, counts) -> {
                    if (matches(key, model, version, route)) {
                        for (int i = 0; i < WINDOW_SECONDS; i++) {
                            if (counts.mPerSecond[i] != null && counts.mSeconds[i] >= first) {
                                sum.add(counts.mPerSecond[i]);
                            }
                        }
                    }
                });
        return sum;
    }

    private static boolean matches(Key key, String model, String version, Optional<String> route) {
        return key.model().equals(model)
                && key.version().equals(version)
                && route.map(key.route()::equals).orElse(true);
    }

    /** Returns the routes of a model on which any version had requests. */
    public ImmutableSortedSet<String> routes(String model) {
        return mCounts.keySet().stream()
                .filter(key -> key.model().equals(model))
                .map(Key::route)
                .collect(ImmutableSortedSet.toImmutableSortedSet(Comparator.naturalOrder()));
    }

    /** Returns the number of requests that may still run on a version, by the latest reports. */
    public long running(String model, String version, long nowNanos) {
        return mReportsByVm.values().stream()
                .filter(reports -> nowNanos - reports.mLastReceivedNanos < MAX_REQUEST_NANOS)
                .flatMap(reports -> reports.mLastReports.values().stream())
                .filter(last -> last.getModel().equals(model))
                .filter(last -> last.getVersion().equals(version))
                .mapToLong(last -> Integer.toUnsignedLong(last.getRunning()))
                .sum();
    }

    /** Returns why a router stopped sending to the new version of a move, if one did. */
    public Optional<String> localStop(String moveId) {
        return Optional.ofNullable(mLocalStops.get(moveId));
    }
}
