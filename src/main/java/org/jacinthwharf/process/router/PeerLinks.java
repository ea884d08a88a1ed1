package org.jacinthwharf.process.router;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.jacinthwharf.connection.Link;
import org.jacinthwharf.connection.LinkListener;
import org.jacinthwharf.connection.Links;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.settings.ControlPeer;
import org.jacinthwharf.process.settings.RouterPeer;
import org.jacinthwharf.process.settings.RouterSettings;
import org.jacinthwharf.wire.generated.Envelope;

/**
 * The links of a router to the other routers and to the control members.
 *
 * <p>Used on the event loop only. Every router opens a link to every other router and sends only on
 * the links that it opened, so the two directions between a pair of routers fail independently.
 */
final class PeerLinks {
    /** Delay after which a router whose link closed counts as lost. */
    static final Duration ROUTER_LOST_TIMEOUT = Duration.ofSeconds(2);

    private static final String CONTROL_ROLE = "control";

    private final RouterSettings mSettings;
    private final Links mLinks;
    private final BiConsumer<VmId, Envelope> mOnMessage;
    private final Map<VmId, Link> mRouterLinks = new HashMap<>();
    private final Map<VmId, Link> mControlLinks = new LinkedHashMap<>();
    private Consumer<VmId> mOnControlUp = m -> {};
    private Consumer<VmId> mOnControlDown = m -> {};
    private Consumer<VmId> mOnRouterDown = r -> {};
    private Consumer<VmId> mOnRouterRecovered = r -> {};
    private final Set<VmId> mLostRouters = new HashSet<>();

    /**
     * Creates an instance without opening any link.
     *
     * @param onMessage receives each message together with its sender
     */
    PeerLinks(RouterSettings settings, Links links, BiConsumer<VmId, Envelope> onMessage) {
        mSettings = settings;
        mLinks = links;
        mOnMessage = onMessage;
    }

    /** Opens all outbound links and accepts inbound ones. */
    void open() {
        mLinks.accept(mSettings.listen().peer().toSocketAddress(), new Inbound()).join();
        for (RouterPeer r : mSettings.routers()) {
            if (!r.vmId().equals(mSettings.vmId())) {
                mLinks.keepOpen(r.peer().toSocketAddress(), new Outbound(mRouterLinks));
            }
        }
        for (ControlPeer c : mSettings.controlMembers()) {
            mLinks.keepOpen(c.peer().toSocketAddress(), new Outbound(mControlLinks));
        }
    }

    /** Sets the action to run when the link to a control member opens. */
    void onControlUp(Consumer<VmId> action) {
        mOnControlUp = action;
    }

    /** Sets the action to run when the link to a control member closes. */
    void onControlDown(Consumer<VmId> action) {
        mOnControlDown = action;
    }

    /**
     * Sets the action to run if a router still has no link {@link #ROUTER_LOST_TIMEOUT} after its
     * link closed. The delay is there because a closed link usually reopens at once.
     */
    void onRouterLost(Consumer<VmId> action, EventLoop loop) {
        mOnRouterDown =
                vm ->
                        loop.schedule(
                                ROUTER_LOST_TIMEOUT,
                                () -> {
                                    if (!mRouterLinks.containsKey(vm)) {
                                        mLostRouters.add(vm);
                                        action.accept(vm);
                                    }
                                });
    }

    /** Sets the action to run when the link to a lost router reopens. */
    void onRouterRecovered(Consumer<VmId> action) {
        mOnRouterRecovered = action;
    }

    /** Sends to a router; returns false if the link is down. */
    boolean sendToRouter(VmId router, Envelope message) {
        Link link = mRouterLinks.get(router);
        return link != null && link.send(message);
    }

    /** Sends to one control member; returns false if the link is down. */
    boolean sendToControl(VmId member, Envelope message) {
        Link link = mControlLinks.get(member);
        return link != null && link.send(message);
    }

    /** Sends to all control members whose link is up. */
    void sendToAllControl(Envelope message) {
        mControlLinks.values().forEach(l -> l.send(message));
    }

    /** Returns the first linked control member that is not in {@code excluded}. */
    Optional<VmId> findControlMember(Set<VmId> excluded) {
        return mControlLinks.keySet().stream().filter(m -> !excluded.contains(m)).findFirst();
    }

    /** Returns the routers whose link is up. */
    Set<VmId> linkedRouters() {
        return mRouterLinks.keySet().stream().collect(Collectors.toUnmodifiableSet());
    }

    private VmId peerVm(Link link) {
        return VmId.of(link.peer().getVmId());
    }

    /** Listens to links that this router opened, and on which it sends. */
    private final class Outbound implements LinkListener {
        private final Map<VmId, Link> mLinksByVm;

        Outbound(Map<VmId, Link> linksByVm) {
            mLinksByVm = linksByVm;
        }

        @Override
        public void onUp(Link link) {
            mLinksByVm.put(peerVm(link), link);
            if (link.peer().getRole().equals(CONTROL_ROLE)) {
                mOnControlUp.accept(peerVm(link));
            } else if (mLostRouters.remove(peerVm(link))) {
                mOnRouterRecovered.accept(peerVm(link));
            }
        }

        @Override
        public void onMessage(Link link, Envelope message) {
            mOnMessage.accept(peerVm(link), message);
        }

        @Override
        public void onDown(Link link) {
            if (!mLinksByVm.remove(peerVm(link), link)) {
                return;
            }
            if (link.peer().getRole().equals(CONTROL_ROLE)) {
                mOnControlDown.accept(peerVm(link));
            } else {
                mOnRouterDown.accept(peerVm(link));
            }
        }
    }

    /** Listens to links that other processes opened, and on which this router only receives. */
    private final class Inbound implements LinkListener {
        @Override
        public void onUp(Link link) {}

        @Override
        public void onMessage(Link link, Envelope message) {
            mOnMessage.accept(peerVm(link), message);
        }

        @Override
        public void onDown(Link link) {}
    }
}
