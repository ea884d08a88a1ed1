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
 * <p>Used on the event loop only. Every router opens a link to every other one and sends on the
 * link that it opened, so both directions are there or missing independently of each other.
 */
final class PeerLinks {
    /** A router without a link for this long is lost to the owners here. */
    static final Duration LOST_AFTER = Duration.ofSeconds(2);

    private static final String CONTROL = "control";

    private final RouterSettings mSettings;
    private final Links mLinks;
    private final BiConsumer<VmId, Envelope> mOnMessage;
    private final Map<VmId, Link> mRouters = new HashMap<>();
    private final Map<VmId, Link> mControl = new LinkedHashMap<>();
    private Consumer<VmId> mOnControlUp = m -> {};
    private Consumer<VmId> mOnControlDown = m -> {};
    private Consumer<VmId> mOnRouterDown = r -> {};
    private Consumer<VmId> mOnRouterBack = r -> {};
    private final Set<VmId> mLost = new HashSet<>();

    /**
     * Creates links that are not open.
     *
     * @param onMessage receives each message with the VM that sent it
     */
    PeerLinks(RouterSettings settings, Links links, BiConsumer<VmId, Envelope> onMessage) {
        mSettings = settings;
        mLinks = links;
        mOnMessage = onMessage;
    }

    /** Opens all links and accepts those of others. */
    void open() {
        mLinks.accept(mSettings.listen().peer().toSocketAddress(), new Inbound()).join();
        for (RouterPeer r : mSettings.routers()) {
            if (!r.vmId().equals(mSettings.vmId())) {
                mLinks.keepOpen(r.peer().toSocketAddress(), new Outbound(mRouters));
            }
        }
        for (ControlPeer c : mSettings.controlMembers()) {
            mLinks.keepOpen(c.peer().toSocketAddress(), new Outbound(mControl));
        }
    }

    /** Sets what runs when the link to a control member opens. */
    void onControlUp(Consumer<VmId> action) {
        mOnControlUp = action;
    }

    /** Sets what runs when the link to a control member closes. */
    void onControlDown(Consumer<VmId> action) {
        mOnControlDown = action;
    }

    /**
     * Sets what runs when a router has been without a link for {@link #LOST_AFTER}, since a link
     * that closes is usually open again at once.
     */
    void onRouterLost(Consumer<VmId> action, EventLoop loop) {
        mOnRouterDown =
                vm ->
                        loop.schedule(
                                LOST_AFTER,
                                () -> {
                                    if (!mRouters.containsKey(vm)) {
                                        mLost.add(vm);
                                        action.accept(vm);
                                    }
                                });
    }

    /** Sets what runs when a router that was lost has a link again. */
    void onRouterBack(Consumer<VmId> action) {
        mOnRouterBack = action;
    }

    /** Sends to a router; returns false if there is no link. */
    boolean sendToRouter(VmId router, Envelope message) {
        Link link = mRouters.get(router);
        return link != null && link.send(message);
    }

    /** Sends to one control member; returns false if there is no link. */
    boolean sendToControl(VmId member, Envelope message) {
        Link link = mControl.get(member);
        return link != null && link.send(message);
    }

    /** Sends to all control members that are linked. */
    void sendToAllControl(Envelope message) {
        mControl.values().forEach(l -> l.send(message));
    }

    /** Returns the first linked control member that is not in {@code tried}. */
    Optional<VmId> controlMemberExcept(Set<VmId> tried) {
        return mControl.keySet().stream().filter(m -> !tried.contains(m)).findFirst();
    }

    /** Returns the routers that are linked. */
    Set<VmId> linkedRouters() {
        return mRouters.keySet().stream().collect(Collectors.toUnmodifiableSet());
    }

    private VmId peerOf(Link link) {
        return VmId.of(link.peer().getVmId());
    }

    /** Links that this router opened; it sends on these. */
    private final class Outbound implements LinkListener {
        private final Map<VmId, Link> mTarget;

        Outbound(Map<VmId, Link> target) {
            mTarget = target;
        }

        @Override
        public void onUp(Link link) {
            mTarget.put(peerOf(link), link);
            if (link.peer().getRole().equals(CONTROL)) {
                mOnControlUp.accept(peerOf(link));
            } else if (mLost.remove(peerOf(link))) {
                mOnRouterBack.accept(peerOf(link));
            }
        }

        @Override
        public void onMessage(Link link, Envelope message) {
            mOnMessage.accept(peerOf(link), message);
        }

        @Override
        public void onDown(Link link) {
            if (!mTarget.remove(peerOf(link), link)) {
                return;
            }
            if (link.peer().getRole().equals(CONTROL)) {
                mOnControlDown.accept(peerOf(link));
            } else {
                mOnRouterDown.accept(peerOf(link));
            }
        }
    }

    /** Links that others opened; this router only receives on these. */
    private final class Inbound implements LinkListener {
        @Override
        public void onUp(Link link) {}

        @Override
        public void onMessage(Link link, Envelope message) {
            mOnMessage.accept(peerOf(link), message);
        }

        @Override
        public void onDown(Link link) {}
    }
}
