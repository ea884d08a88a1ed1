package org.jacinthwharf.process.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.Collections;
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
import org.jacinthwharf.process.control.ControlGroupLinks;
import org.jacinthwharf.process.settings.NodeSettings;
import org.jacinthwharf.wire.generated.Envelope;

/**
 * A gateway's links to the control members, which it discovers through the seeds.
 *
 * <p>Used on the event loop only. Invariant: connections to the seeds are always attempted, however
 * old the settings are; to other members as long as the last received member list names them.
 */
final class ControlLinks implements LinkListener {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Receives the state of links, and messages. */
    interface Listener {
        void onUp(VmId member);

        void onDown(VmId member);

        void onMessage(VmId member, Envelope message);
    }

    private final NodeSettings mSettings;
    private final Listener mListener;
    private final ControlGroupLinks mMemberLinks;
    private List<VmId> mMembers = List.of();
    private List<VmId> mSeeds = List.of();
    private final Map<VmId, Link> mOpenLinks = new TreeMap<>();

    /** Members with an open link that do not answer reports of load. */
    private final Set<VmId> mSilent = new TreeSet<>();

    ControlLinks(NodeSettings settings, Links links, Listener listener) {
        mSettings = settings;
        mListener = listener;
        mMemberLinks = new ControlGroupLinks(settings, links, this, refusingVm -> {});
    }

    /** Opens links to the seeds. */
    void open() {
        setSeeds(mSettings.seedVms());
    }

    /** Replaces the seeds. */
    void setSeeds(List<VmId> seeds) {
        mSeeds = seeds;
        updateTargets();
    }

    /** Replaces the other members by a list received from a member. */
    void setMembers(List<VmId> members) {
        mMembers = members;
        updateTargets();
    }

    private void updateTargets() {
        Set<VmId> all = new TreeSet<>(mSeeds);
        all.addAll(mMembers);
        mMemberLinks.setTargets(all);
    }

    @Override
    public void onUp(Link link) {
        VmId vm = VmId.of(link.peer().getVmId());
        mOpenLinks.put(vm, link);
        LOGGER.atInfo().log("event=control_contact member=%s contacts=%d", vm, mOpenLinks.size());
        mListener.onUp(vm);
    }

    @Override
    public void onMessage(Link link, Envelope message) {
        mListener.onMessage(VmId.of(link.peer().getVmId()), message);
    }

    /**
     * The state of a gateway comes again with a new link, but for a configuration that it seems to
     * have.
     */
    @Override
    public boolean isContained(Envelope message) {
        return !message.hasConfigurationPush();
    }

    @Override
    public void onDown(Link link) {
        VmId vm = VmId.of(link.peer().getVmId());
        if (mOpenLinks.remove(vm, link)) {
            mSilent.remove(vm);
            LOGGER.atInfo().log("event=control_lost member=%s contacts=%d", vm, mOpenLinks.size());
            mListener.onDown(vm);
        }
    }

    boolean send(VmId member, Envelope message) {
        Link link = mOpenLinks.get(member);
        return link != null && link.send(message);
    }

    void sendToAll(Envelope message) {
        mOpenLinks.values().forEach(l -> l.send(message));
    }

    /**
     * Returns the member that relays load: the first one that answers reports, or the first one if
     * none does. It is the same one for all gateways with the same links, soon after a member has
     * frozen.
     */
    Optional<VmId> relay() {
        return mOpenLinks.keySet().stream()
                .filter(m -> !mSilent.contains(m))
                .findFirst()
                .or(this::firstMember);
    }

    /** Returns the member that relays load as long as it answers. */
    Optional<VmId> firstMember() {
        return mOpenLinks.keySet().stream().findFirst();
    }

    /** Records whether a member answers reports of load; returns whether that is news. */
    boolean setSilent(VmId member, boolean silent) {
        return silent
                ? mOpenLinks.containsKey(member) && mSilent.add(member)
                : mSilent.remove(member);
    }

    /** Returns the members with an open link that do not answer reports of load. */
    Set<VmId> silentMembers() {
        return Collections.unmodifiableSet(mSilent);
    }

    boolean isEmpty() {
        return mOpenLinks.isEmpty();
    }
}
