package org.jacinthwharf.process.control;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.jacinthwharf.connection.Link;
import org.jacinthwharf.process.consensus.LogStatus;
import org.jacinthwharf.process.consensus.ReplicatedLog;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.wire.generated.ConfigurationDelta;
import org.jacinthwharf.wire.generated.ConfigurationPush;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.RevisionReport;
import org.jacinthwharf.wire.generated.Subscribe;

/**
 * Pushes the committed configuration to subscribed processes and keeps what they report.
 *
 * <p>Called on the event loop only. Invariants: content is sent only at a revision that is not
 * below the highest one that a router reported; a push is marked confirmed only within {@link
 * #CONFIRMATION_VALID} of a confirmation by the leader for this or an older revision.
 */
public final class ConfigurationPublisher implements ConfigurationListener {
    /** The current revision is sent again after this time, so that a lost push is noticed. */
    public static final Duration INTERVAL = Duration.ofSeconds(1);

    /** Two intervals, so that one lost round does not end a confirmation. */
    static final Duration CONFIRMATION_VALID = INTERVAL.multipliedBy(2);

    /** About 500 KB at 500 bytes per change; a router further behind gets everything. */
    static final int KEPT_DELTAS = 1_000;

    private final ControlStateMachine mState;
    private final ReplicatedLog mLog;
    private final EventLoop mLoop;
    private final TreeMap<Long, ConfigurationDelta> mDeltas = new TreeMap<>();
    private final Map<Link, Boolean> mSubscribers = new LinkedHashMap<>();
    private final TreeMap<String, Long> mReported = new TreeMap<>();
    private final Map<String, Link> mDirect = new HashMap<>();
    private long mFloor;
    private long mConfirmedRevision = -1;
    private long mConfirmedNanos;

    /** Creates a publisher of {@code state}; the caller registers it there as the listener. */
    public ConfigurationPublisher(ControlStateMachine state, ReplicatedLog log, EventLoop loop) {
        mState = state;
        mLog = log;
        mLoop = loop;
    }

    @Override
    public void onChange(ConfigurationDelta delta) {
        mDeltas.put(mState.revision(), delta);
        if (mDeltas.size() > KEPT_DELTAS) {
            mDeltas.pollFirstEntry();
        }
        mSubscribers.forEach(
                (link, content) -> {
                    if (content) {
                        send(link, push().setDelta(delta));
                    }
                });
    }

    @Override
    public void onRestore() {
        mDeltas.clear();
        mSubscribers.forEach((link, content) -> sendSince(link, 0, content));
    }

    /**
     * Subscribes a link from {@code subscribe.revision} on.
     *
     * <p>Routers get content. Control members replicate the content through the log, and get
     * revisions and confirmations only. The answer waits for the leader's confirmation, so that a
     * router that restarted empty can start at once.
     */
    public void subscribe(Link link, Subscribe subscribe) {
        boolean content = !isControlMember(link);
        if (content) {
            report(link.peer().getVmId(), subscribe.getRevision());
            mDirect.put(link.peer().getVmId(), link);
        }
        mSubscribers.put(link, content);
        confirm(() -> sendSince(link, subscribe.getRevision(), content));
    }

    /**
     * Records what a process said is in force at a router.
     *
     * <p>Another member's report about a router with a link to this member is ignored, since it may
     * be older than the router's own.
     */
    public void onReport(Link link, RevisionReport report) {
        if (!isControlMember(link) || !mDirect.containsKey(report.getVmId())) {
            report(report.getVmId(), report.getRevision());
        }
    }

    /** Records a leader's confirmation and the floor that another control member sent. */
    public void onMemberPush(ConfigurationPush push) {
        mFloor = Math.max(mFloor, push.getRevisionFloor());
        if (push.getConfirmed()) {
            setConfirmed(push.getRevision(), mLoop.nowNanos());
        }
    }

    /** Forgets a closed link; what its process reported is kept. */
    public void onDown(Link link) {
        mSubscribers.remove(link);
        mDirect.remove(link.peer().getVmId(), link);
    }

    /** Confirms leadership and sends the current revision; call every {@link #INTERVAL}. */
    public void tick() {
        confirm(() -> mSubscribers.forEach((link, content) -> sendRound(link, content)));
    }

    private void sendRound(Link link, boolean content) {
        send(link, push());
        if (!content) {
            mDirect.keySet().forEach(vm -> send(link, vm, mReported.get(vm)));
        }
    }

    private void confirm(Runnable then) {
        long askedNanos = mLoop.nowNanos();
        mLog.confirmLeadership()
                .whenComplete(
                        (leads, failure) -> {
                            if (failure == null && leads) {
                                setConfirmed(mState.revision(), askedNanos);
                            }
                            then.run();
                        });
    }

    private void setConfirmed(long revision, long nanos) {
        if (revision >= mConfirmedRevision) {
            mConfirmedRevision = revision;
            mConfirmedNanos = nanos;
        }
    }

    private boolean confirmed() {
        return mConfirmedRevision >= 0
                && mState.revision() >= mConfirmedRevision
                && mLoop.nowNanos() - mConfirmedNanos < CONFIRMATION_VALID.toNanos();
    }

    /** Returns whether this member knows from a leader that its configuration is current. */
    public boolean isConfirmed() {
        return confirmed();
    }

    private boolean leads() {
        return mLog.status().role() == LogStatus.Role.LEADER;
    }

    private void sendSince(Link link, long revision, boolean content) {
        if (!mSubscribers.containsKey(link)) {
            return;
        }
        long current = mState.revision();
        // A router without configuration also needs the empty one at revision 0.
        boolean empty = revision == 0;
        if (!content || (revision >= current && !empty)) {
            send(link, push());
            return;
        }
        SortedMap<Long, ConfigurationDelta> since = mDeltas.tailMap(revision + 1);
        if (empty || since.size() < current - revision) {
            send(link, push().setFull(mState.configuration()));
            return;
        }
        since.forEach((r, delta) -> send(link, push().setRevision(r).setDelta(delta)));
    }

    private ConfigurationPush.Builder push() {
        // A member that does not lead relays the flag to routers, never to other members: two
        // followers would otherwise keep a lost leader's confirmation alive between them.
        return ConfigurationPush.newBuilder()
                .setRevision(mState.revision())
                .setConfirmed(confirmed())
                .setRevisionFloor(mFloor);
    }

    private void send(Link link, ConfigurationPush.Builder push) {
        // Content below the floor would take a router that restarted empty back in time.
        if (mState.revision() < mFloor) {
            push.clearContent();
        }
        if (isControlMember(link) && !leads()) {
            push.setConfirmed(false);
        }
        link.send(Envelope.newBuilder().setConfigurationPush(push).build());
    }

    private static void send(Link link, String vmId, long revision) {
        RevisionReport report =
                RevisionReport.newBuilder().setVmId(vmId).setRevision(revision).build();
        link.send(Envelope.newBuilder().setRevisionReport(report).build());
    }

    private static boolean isControlMember(Link link) {
        return link.peer().getRole().equals("control");
    }

    // A router that restarts empty reports 0 again, so the latest report counts, not the highest;
    // the floor keeps the highest.
    private void report(String vmId, long revision) {
        mReported.put(vmId, revision);
        mFloor = Math.max(mFloor, revision);
    }

    /** Returns the revision that each router reported last. */
    public ImmutableMap<String, Long> reported() {
        return ImmutableMap.copyOf(mReported);
    }

    /** Returns the highest revision that a router reported. */
    public long revisionFloor() {
        return mFloor;
    }
}
