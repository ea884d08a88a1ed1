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
 * Adds up what routers report about versions.
 *
 * <p>Invariant: each request counts once, whatever reports are lost, repeated or late, since
 * routers report growing totals and the aggregator adds only growth. What a router counted before
 * the aggregator was created is left out, so a new leader judges what it saw itself. Not
 * thread-safe.
 */
public final class EvidenceAggregator {
    /** Longest request duration; after it nothing of a silent router runs any more. */
    private static final long LONGEST_REQUEST_NANOS = 120_000_000_000L;

    private static final int WINDOW_SECONDS = 60;
    private static final long SECOND_NANOS = 1_000_000_000L;

    /** Verdicts of finished moves that are kept, so that routers cannot fill the memory. */
    private static final int MAX_STOPS = 1_000;

    private record Key(String model, String version, String route) {}

    private static final class Source {
        long mIncarnation;
        long mSequence;
        long mLastReceivedNanos;
        final Map<Key, RouteEvidence> mLast = new HashMap<>();
        boolean mBaselinePending;
    }

    private static final class Series {
        final Counts mTotal = new Counts();
        final Counts[] mRing = new Counts[WINDOW_SECONDS];
        final long[] mRingSecond = new long[WINDOW_SECONDS];
    }

    private final long mCreatedMillis;
    private final Map<VmId, Source> mSources = new HashMap<>();
    private final Map<Key, Series> mSeries = new HashMap<>();
    private final Map<String, String> mStops =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
                    return size() > MAX_STOPS;
                }
            };

    /** Creates an empty aggregator; routers that started before {@code nowMillis} have a past. */
    public EvidenceAggregator(long nowMillis) {
        mCreatedMillis = nowMillis;
    }

    /** Adds a report; returns false if it is malformed, late or repeated. */
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
        Source source = mSources.get(router.vm());
        if (source == null || source.mIncarnation < router.incarnation()) {
            boolean firstOfVm = source == null;
            source = new Source();
            source.mIncarnation = router.incarnation();
            source.mSequence = -1;
            source.mBaselinePending = firstOfVm && router.incarnation() < mCreatedMillis;
            mSources.put(router.vm(), source);
        } else if (source.mIncarnation > router.incarnation()
                || evidence.getSequence() <= source.mSequence) {
            return false;
        }
        source.mSequence = evidence.getSequence();
        source.mLastReceivedNanos = nowNanos;
        for (RouteEvidence route : evidence.getRoutesList()) {
            Key key = new Key(route.getModel(), route.getVersion(), route.getRoute());
            RouteEvidence before = source.mLast.put(key, route);
            if (!source.mBaselinePending) {
                add(
                        key,
                        before == null ? RouteEvidence.getDefaultInstance() : before,
                        route,
                        nowNanos);
            }
        }
        source.mBaselinePending = false;
        for (LocalStop stop : evidence.getStopsList()) {
            mStops.putIfAbsent(stop.getMoveId(), router.vm() + ": " + stop.getReason());
        }
        return true;
    }

    private void add(Key key, RouteEvidence before, RouteEvidence after, long nowNanos) {
        Series series = mSeries.computeIfAbsent(key, ignored -> new Series());
        series.mTotal.addGrowth(before, after);
        long second = Math.floorDiv(nowNanos, SECOND_NANOS);
        int slot = (int) Math.floorMod(second, (long) WINDOW_SECONDS);
        if (series.mRing[slot] == null || series.mRingSecond[slot] != second) {
            series.mRing[slot] = new Counts();
            series.mRingSecond[slot] = second;
        }
        series.mRing[slot].addGrowth(before, after);
    }

    /**
     * Returns the counts since the aggregator was created; of all routes for an empty {@code
     * route}.
     */
    Counts total(String model, String version, Optional<String> route) {
        Counts sum = new Counts();
        mSeries.forEach(
                (key, series) -> {
                    if (matches(key, model, version, route)) {
                        sum.add(series.mTotal);
                    }
                });
        return sum;
    }

    /** Returns the counts of the last {@code seconds}, at most 60. */
    Counts recent(
            String model, String version, Optional<String> route, int seconds, long nowNanos) {
        long first = Math.floorDiv(nowNanos, SECOND_NANOS) - seconds + 1;
        Counts sum = new Counts();
        mSeries.forEach(
                (key, series) -> {
                    if (matches(key, model, version, route)) {
                        for (int i = 0; i < WINDOW_SECONDS; i++) {
                            if (series.mRing[i] != null && series.mRingSecond[i] >= first) {
                                sum.add(series.mRing[i]);
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
        return mSeries.keySet().stream()
                .filter(key -> key.model().equals(model))
                .map(Key::route)
                .collect(ImmutableSortedSet.toImmutableSortedSet(Comparator.naturalOrder()));
    }

    /** Returns the requests that may still run at a version, by the last reports. */
    public long running(String model, String version, long nowNanos) {
        return mSources.values().stream()
                .filter(source -> nowNanos - source.mLastReceivedNanos < LONGEST_REQUEST_NANOS)
                .flatMap(source -> source.mLast.values().stream())
                .filter(last -> last.getModel().equals(model))
                .filter(last -> last.getVersion().equals(version))
                .mapToLong(last -> Integer.toUnsignedLong(last.getRunning()))
                .sum();
    }

    /** Returns why a router stopped sending to the new version of a move, if one did. */
    public Optional<String> localStop(String moveId) {
        return Optional.ofNullable(mStops.get(moveId));
    }
}
