package org.jacinthwharf.process.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jacinthwharf.connection.Link;
import org.jacinthwharf.connection.LinkListener;
import org.jacinthwharf.connection.Links;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.control.MemberContacts;
import org.jacinthwharf.process.settings.NodeSettings;
import org.jacinthwharf.wire.generated.Envelope;

/**
 * A gateway's links to the control members, found through seeds and then through the members.
 *
 * <p>Used on the event loop only. Invariant: the seeds are always tried, however old the settings
 * are; other members are tried as long as the last list of a member names them.
 */
final class ControlContacts implements LinkListener {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Hears of contacts and messages. */
    interface Listener {
        void onUp(VmId member);

        void onDown(VmId member);

        void onMessage(VmId member, Envelope message);
    }

    private final NodeSettings mSettings;
    private final Listener mListener;
    private final MemberContacts mContacts;
    private List<VmId> mMembers = List.of();
    private List<VmId> mSeeds = List.of();
    private final Map<VmId, Link> mUp = new TreeMap<>();

    ControlContacts(NodeSettings settings, Links links, Listener listener) {
        mSettings = settings;
        mListener = listener;
        mContacts = new MemberContacts(settings, links, this);
    }

    /** Opens links to the seeds. */
    void open() {
        setSeeds(mSettings.seedVms());
    }

    /** Replaces the seeds. */
    void setSeeds(List<VmId> seeds) {
        mSeeds = seeds;
        wantAll();
    }

    /** Takes the list of members that one of them sent. */
    void setMembers(List<VmId> members) {
        mMembers = members;
        wantAll();
    }

    private void wantAll() {
        Set<VmId> all = new TreeSet<>(mSeeds);
        all.addAll(mMembers);
        mContacts.want(all);
    }

    @Override
    public void onUp(Link link) {
        VmId vm = VmId.of(link.peer().getVmId());
        mUp.put(vm, link);
        LOGGER.atInfo().log("event=control_contact member=%s contacts=%d", vm, mUp.size());
        mListener.onUp(vm);
    }

    @Override
    public void onMessage(Link link, Envelope message) {
        mListener.onMessage(VmId.of(link.peer().getVmId()), message);
    }

    @Override
    public void onDown(Link link) {
        VmId vm = VmId.of(link.peer().getVmId());
        if (mUp.remove(vm, link)) {
            LOGGER.atInfo().log("event=control_lost member=%s contacts=%d", vm, mUp.size());
            mListener.onDown(vm);
        }
    }

    boolean send(VmId member, Envelope message) {
        Link link = mUp.get(member);
        return link != null && link.send(message);
    }

    void sendToAll(Envelope message) {
        mUp.values().forEach(l -> l.send(message));
    }

    /**
     * Returns the member that relays load, the same one for all gateways with the same contacts.
     */
    Optional<VmId> relay() {
        return mUp.keySet().stream().findFirst();
    }

    boolean isEmpty() {
        return mUp.isEmpty();
    }
}
