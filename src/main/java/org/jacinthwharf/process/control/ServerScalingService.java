package org.jacinthwharf.process.control;

import com.google.common.collect.ImmutableSet;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.connection.Link;
import org.jacinthwharf.process.duty.ScalingSource;
import org.jacinthwharf.process.duty.UsageSource;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.scaling.CapacityPlanner;
import org.jacinthwharf.process.scaling.DemandView;
import org.jacinthwharf.process.scaling.OrderedServers;
import org.jacinthwharf.process.scaling.ServerCounts;
import org.jacinthwharf.wire.generated.CapacityOrder;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.ExpectedServers;
import org.jacinthwharf.wire.generated.Hello;
import org.jacinthwharf.wire.generated.RoutingTable;
import org.jacinthwharf.wire.generated.Service;
import org.jacinthwharf.wire.generated.UsageReport;

/**
 * Observes demand and servers at a control member, and decides how many servers are wanted.
 *
 * <p>Used on the event loop only. All members observe, so that a new holder knows the needs of the
 * last start times; only the holder is asked for orders and tells gateways of expected servers.
 */
final class ServerScalingService implements ScalingSource {
    /** As often as gateways report. */
    static final Duration TICK = Duration.ofSeconds(1);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Two orders in a row were not asked for: another member holds the duty. */
    private static final long HOLDS_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    /** Lost announcements after which a server is not counted, and one more for the relay. */
    private static final int SILENT_ANNOUNCEMENTS = 5;

    private final DemandView mDemand = new DemandView();
    private final CapacityPlanner mPlanner;
    private final ControlStateMachine mState;
    private final DirectoryService mDirectory;
    private final UsageSource mClock;
    private final EventLoop mLoop;
    private final long mSilenceNanos;
    private final Collection<Link> mGateways;
    private long mAskedNanos;
    private boolean mAsked;
    private boolean mExpecting;
    private Set<String> mUndecided = Set.of();

    /**
     * Creates a service that has observed nothing.
     *
     * @param clock knows the time of the fleet
     * @param announceMillis interval at which servers announce themselves
     * @param gateways the linked gateways; a view that changes
     */
    ServerScalingService(
            ControlStateMachine state,
            DirectoryService directory,
            UsageSource clock,
            EventLoop loop,
            long announceMillis,
            Collection<Link> gateways) {
        mState = state;
        mDirectory = directory;
        mClock = clock;
        mLoop = loop;
        mSilenceNanos = TimeUnit.MILLISECONDS.toNanos(SILENT_ANNOUNCEMENTS * announceMillis);
        mGateways = gateways;
        mPlanner = new CapacityPlanner(loop.nowNanos());
    }

    void onReport(Hello from, UsageReport report) {
        mDemand.onReport(from, report, mLoop.nowNanos());
    }

    /** Observes demand and servers, and tells gateways of servers that are expected. */
    void tick() {
        long now = mLoop.nowNanos();
        ServerCounts servers = ServerCounts.of(mDirectory.entries(), mSilenceNanos, now);
        List<CapacityOrder> orders = mState.duties().orders();
        mPlanner.observe(
                services(), mDemand.demand(now), servers, mState.closedDomains(), orders, now);
        if (mAsked && now - mAskedNanos <= HOLDS_NANOS) {
            logUndecided();
            tellGateways(
                    OrderedServers.expected(services(), orders, servers, mClock.fleetMillis()));
        }
    }

    private List<Service> services() {
        return mState.routing().map(RoutingTable::getServicesList).orElse(List.of());
    }

    private void logUndecided() {
        ImmutableSet<String> undecided = mPlanner.undecidedDomains();
        if (!undecided.equals(mUndecided)) {
            mUndecided = undecided;
            LOGGER.atInfo().log("event=scaling_undecided failure_domains=%s", undecided);
        }
    }

    private void tellGateways(ExpectedServers expected) {
        boolean expecting = expected.getServersCount() > 0;
        if (expecting || mExpecting) {
            Envelope message = Envelope.newBuilder().setExpectedServers(expected).build();
            mGateways.forEach(g -> g.send(message));
        }
        mExpecting = expecting;
    }

    @Override
    public List<CapacityOrder> wanted(List<CapacityOrder> lastOrders) {
        mAsked = true;
        mAskedNanos = mLoop.nowNanos();
        return mPlanner.orders(services(), lastOrders, mAskedNanos);
    }
}
