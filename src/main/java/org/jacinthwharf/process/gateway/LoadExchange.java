package org.jacinthwharf.process.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.request.admission.LeadLimit;
import org.jacinthwharf.request.admission.ServiceLedger;
import org.jacinthwharf.request.dispatch.BackendServer;
import org.jacinthwharf.request.dispatch.FleetRetryBudget;
import org.jacinthwharf.request.dispatch.GatewayRanks;
import org.jacinthwharf.request.dispatch.ServerTable;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.FleetLoad;
import org.jacinthwharf.wire.generated.GatewayLoad;
import org.jacinthwharf.wire.generated.OriginTotals;
import org.jacinthwharf.wire.generated.ServerLoad;
import org.jacinthwharf.wire.generated.ServerRateLimit;
import org.jacinthwharf.wire.generated.ServiceTotals;

/**
 * Reports the load that this gateway causes at the backend servers to the control members, and
 * receives the load that the other gateways cause.
 *
 * <p>Used on the event loop only. Invariants: sums are accepted from one member at a time, so no
 * load is counted twice; a member that stands in for a silent one is believed only once most
 * gateways report to it.
 */
final class LoadExchange {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Totals change more slowly than load. */
    static final int TICKS_PER_TOTALS = 10;

    /** Decay of the largest recent round trip with each measurement. */
    private static final double ROUND_TRIP_DECAY = 0.95;

    /**
     * Time without an answer after which the relay counts as silent. Answers take up to 75 ms in a
     * small fleet and 0.21 s in one of 850 gateways, whose messages are spread over that time.
     */
    private static final long RELAY_SILENCE_NANOS = 300_000_000L;

    /** Reports after which the one that is timed counts as lost. */
    private static final int MAX_UNANSWERED_REPORTS = 500;

    private final ServerTable mServerTable;
    private final ControlLinks mControlLinks;
    private final GatewayRanks mRanks;
    private final FleetRetryBudget mBudget;
    private final VmId mSelf;
    private final ServiceLedger mLedger;
    private final LeadLimit mLeadLimit;
    private final EventLoop mLoop;
    private final GatewayActivity mActivity;
    private final Map<VmId, FleetLoadView> mViews = new HashMap<>();
    private final Set<VmId> mOtherGateways = new TreeSet<>();
    private List<String> mGateways = List.of();
    private List<ServerLoad> mLastSent = List.of();
    private Optional<VmId> mRelay = Optional.empty();
    private Optional<VmId> mLastRelay = Optional.empty();
    private long mSequence;
    private long mTimedSequence;
    private long mTimedSinceNanos;
    private long mRoundTripNanos;

    /** The first report to the relay after the last one that it answered; 0 if there is none. */
    private long mUnansweredSequence;

    private long mUnansweredSinceNanos;
    private long mTicks;
    private long mReportedPlacements;
    private boolean mRateLimitChanged;

    LoadExchange(
            ServerTable serverTable,
            ControlLinks controlLinks,
            GatewayRanks ranks,
            FleetRetryBudget budget,
            VmId self,
            ServiceLedger ledger,
            EventLoop loop,
            GatewayActivity activity) {
        mServerTable = serverTable;
        mControlLinks = controlLinks;
        mRanks = ranks;
        mBudget = budget;
        mSelf = self;
        mLedger = ledger;
        mLeadLimit = new LeadLimit(ledger);
        mLoop = loop;
        mActivity = activity;
    }

    /**
     * Sends the load if it changed or a request was placed, and totals every few ticks; called
     * several times a second.
     */
    void tick() {
        Optional<VmId> relay = currentRelay();
        if (relay.isEmpty()) {
            return;
        }
        List<ServerLoad> load = mServerTable.localLoad();
        boolean periodic = ++mTicks % TICKS_PER_TOTALS == 0;
        OriginTotals totals =
                periodic ? mLedger.nextTotals().getOrigins(0) : OriginTotals.getDefaultInstance();
        boolean unchanged =
                load.equals(mLastSent)
                        && mServerTable.placements() == mReportedPlacements
                        && relay.equals(mLastRelay)
                        && totals.getTotalsCount() == 0
                        && !mRateLimitChanged;
        if (unchanged && !periodic) {
            return;
        }
        List<ServerRateLimit> limits = mServerTable.rateLimits(mLoop.nowNanos());
        if (unchanged && limits.isEmpty()) {
            return;
        }
        Envelope message =
                report(
                        GatewayLoad.newBuilder()
                                .addAllServers(load)
                                .setCustomers(totals)
                                .addAllRateLimits(limits));
        if (periodic) {
            // A silent relay that works again tells so by its answer.
            mControlLinks.silentMembers().stream()
                    .filter(m -> !relay.get().equals(m))
                    .forEach(m -> mControlLinks.send(m, message));
        }
        if (mControlLinks.send(relay.get(), message)) {
            mLastSent = load;
            mReportedPlacements = mServerTable.placements();
            mLastRelay = relay;
            mRateLimitChanged = false;
            startTiming();
        }
    }

    /** Returns the relay, after a change if the one until now has not answered for too long. */
    private Optional<VmId> currentRelay() {
        Optional<VmId> relay = mControlLinks.relay();
        if (relay.isPresent()
                && relay.equals(mRelay)
                && mUnansweredSequence > 0
                && mLoop.nowNanos() - mUnansweredSinceNanos > RELAY_SILENCE_NANOS
                && mControlLinks.setSilent(relay.get(), true)) {
            relay = mControlLinks.relay();
            LOGGER.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                    "event=load_relay_silent member=%s relay=%s",
                    mRelay.orElseThrow(), relay.orElseThrow());
        }
        if (!relay.equals(mRelay)) {
            withdrawFrom(mRelay);
            mRelay = relay;
            mUnansweredSequence = 0;
            mTimedSequence = 0;
        }
        return relay;
    }

    /** Takes the load back from a member that was the relay, so that its sums do not keep it. */
    private void withdrawFrom(Optional<VmId> member) {
        member.filter(m -> !mControlLinks.silentMembers().contains(m))
                .ifPresent(
                        m ->
                                mControlLinks.send(
                                        m, report(GatewayLoad.newBuilder().setWithdrawn(true))));
    }

    private Envelope report(GatewayLoad.Builder load) {
        return Envelope.newBuilder().setGatewayLoad(load.setSequence(++mSequence)).build();
    }

    /** Updates the load of the other gateways from the sums that a control member sent. */
    void onFleetLoad(VmId member, FleetLoad load) {
        // Changes of a member that is not the relay are kept, since it may become the relay.
        FleetLoadView view = mViews.computeIfAbsent(member, m -> new FleetLoadView());
        view.apply(load);
        mControlLinks.setSilent(member, false);
        if (!mControlLinks.relay().filter(member::equals).isPresent()) {
            return;
        }
        endTiming(load.getReceivedSequence());
        boolean first = mControlLinks.firstMember().filter(member::equals).isPresent();
        if (first || view.isReportedByMost()) {
            mServerTable.setOtherGatewaysLoad(view.servers());
        }
        mServerTable
                .setFleetRateLimits(load.getRateLimitsList(), mLoop.nowNanos())
                .forEach(s -> logRateLimit(s, "fleet"));
        setGateways(view.gateways());
        if (load.getOriginsCount() > 0) {
            mLedger.merge(
                    ServiceTotals.newBuilder()
                            .setSender(member.value())
                            .addAllOrigins(load.getOriginsList())
                            .build(),
                    mLoop.nowNanos());
            mLeadLimit.update(mLoop.nowNanos());
            mRanks.setDemand(backlogByGateway(), mLoop.nowNanos());
        }
    }

    /** Returns the backlogged customers by gateway; origins are {@code vmId/incarnation}. */
    private Map<String, Double> backlogByGateway() {
        Map<String, Double> backlog = new HashMap<>();
        mLedger.backlogByOrigin()
                .forEach(
                        (origin, customers) ->
                                backlog.merge(
                                        origin.substring(0, Math.max(0, origin.lastIndexOf('/'))),
                                        customers,
                                        Double::sum));
        return backlog;
    }

    /** Forgets what a member sent on a link that has closed. */
    void onDown(VmId member) {
        mViews.remove(member);
        // A member that is linked again has none of the reports on the earlier link.
        mRelay = mRelay.filter(m -> !m.equals(member));
        mLastRelay = mLastRelay.filter(m -> !m.equals(member));
    }

    /** Applies the rate that a server named in an answer to this gateway. */
    void onRateLimit(BackendServer server, OptionalDouble rate) {
        if (server.onNamedRate(rate, mLoop.nowNanos())) {
            mRateLimitChanged = true;
            logRateLimit(server, "answer");
        }
    }

    private void logRateLimit(BackendServer server, String source) {
        OptionalDouble rate = server.namedRate(mLoop.nowNanos());
        LOGGER.atInfo().log(
                "event=server_rate_limit server=%s rate=%s source=%s",
                server, rate.isPresent() ? rate.getAsDouble() : "none", source);
    }

    /** Returns the time until the other gateways know of a placement: a tick and the exchange. */
    long loadDelayNanos() {
        return GatewayProcess.TICK.toNanos() + mRoundTripNanos;
    }

    /** Times one report at a time, so that a lost one does not stop the measurement for long. */
    private void startTiming() {
        if (mUnansweredSequence == 0) {
            mUnansweredSequence = mSequence;
            mUnansweredSinceNanos = mLoop.nowNanos();
        }
        boolean lost = mSequence - mTimedSequence > MAX_UNANSWERED_REPORTS;
        if (mTimedSequence == 0 || lost) {
            mTimedSequence = mSequence;
            mTimedSinceNanos = mLoop.nowNanos();
        }
    }

    private void endTiming(long receivedSequence) {
        if (receivedSequence >= mUnansweredSequence) {
            mUnansweredSequence = 0;
        }
        if (mTimedSequence > 0 && receivedSequence >= mTimedSequence) {
            long roundTrip = mLoop.nowNanos() - mTimedSinceNanos;
            mActivity.onLoadRoundTrip(roundTrip);
            mRoundTripNanos = Math.max(roundTrip, (long) (ROUND_TRIP_DECAY * mRoundTripNanos));
            mTimedSequence = 0;
        }
    }

    /** Updates the running gateways, which change far less often than their load. */
    private void setGateways(List<String> gateways) {
        if (gateways.equals(mGateways)) {
            return;
        }
        mGateways = List.copyOf(gateways);
        mRanks.setGateways(mGateways);
        mBudget.setGateways(mGateways.size());
        mOtherGateways.clear();
        mGateways.stream()
                .flatMap(g -> VmId.parse(g).stream())
                .filter(g -> !g.equals(mSelf))
                .forEach(mOtherGateways::add);
    }

    Set<VmId> otherGateways() {
        return mOtherGateways;
    }
}
