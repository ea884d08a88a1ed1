package org.jacinthwharf.process.gateway;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.request.dispatch.ColdPermits;
import org.jacinthwharf.request.dispatch.FleetRetryBudget;
import org.jacinthwharf.request.dispatch.ServerBoard;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.FleetLoad;
import org.jacinthwharf.wire.generated.GatewayLoad;
import org.jacinthwharf.wire.generated.ServerLoad;

/**
 * Tells control what runs at backend servers from here, and takes what runs there from the other
 * gateways.
 *
 * <p>Used on the event loop only. Invariant: sums come from one member at a time, so nothing counts
 * twice.
 */
final class LoadExchange {
    private final ServerBoard mBoard;
    private final ControlContacts mControl;
    private final ColdPermits mCold;
    private final FleetRetryBudget mBudget;
    private final VmId mSelf;
    private final Set<VmId> mOthers = new TreeSet<>();
    private List<ServerLoad> mLastSent = List.of();
    private Optional<VmId> mLastRelay = Optional.empty();
    private long mSequence;

    LoadExchange(
            ServerBoard board,
            ControlContacts control,
            ColdPermits cold,
            FleetRetryBudget budget,
            VmId self) {
        mBoard = board;
        mControl = control;
        mCold = cold;
        mBudget = budget;
        mSelf = self;
    }

    /** Sends what changed; called several times a second. */
    void tick() {
        Optional<VmId> relay = mControl.relay();
        if (relay.isEmpty()) {
            return;
        }
        List<ServerLoad> load = mBoard.ownLoad();
        if (load.equals(mLastSent) && relay.equals(mLastRelay)) {
            return;
        }
        GatewayLoad message =
                GatewayLoad.newBuilder().setSequence(++mSequence).addAllServers(load).build();
        if (mControl.send(relay.get(), Envelope.newBuilder().setGatewayLoad(message).build())) {
            mLastSent = load;
            mLastRelay = relay;
        }
    }

    /** Takes the sums that a control member sent. */
    void onFleetLoad(VmId member, FleetLoad load) {
        if (!mControl.relay().filter(member::equals).isPresent()) {
            return;
        }
        mBoard.setOthers(load.getServersList());
        mCold.setGateways(load.getGatewaysList());
        mBudget.setGateways(load.getGatewaysCount());
        mOthers.clear();
        load.getGatewaysList().stream()
                .flatMap(g -> VmId.parse(g).stream())
                .filter(g -> !g.equals(mSelf))
                .forEach(mOthers::add);
    }

    Set<VmId> otherGateways() {
        return mOthers;
    }
}
