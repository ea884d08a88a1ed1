package org.jacinthwharf.process.control;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.jacinthwharf.connection.Link;
import org.jacinthwharf.process.consensus.RaftStatus;
import org.jacinthwharf.process.consensus.ReplicatedLog;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.wire.generated.ConfigurationDelta;
import org.jacinthwharf.wire.generated.ConfigurationPush;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.RevisionReport;
import org.jacinthwharf.wire.generated.Subscribe;

/**
 * Pushes the committed configuration to subscribers and records the revisions that they report.
 *
 * <p>Called on the event loop only. Invariants: content is sent only at a revision that is not
 * below the highest one that a router reported; a push is marked as confirmed only within {@link
 * #CONFIRMATION_VALIDITY} of a confirmation by the leader for this or an older revision.
 */
public final class ConfigurationPublisher implements ConfigurationListener {
    /** Interval of pushing the current revision, which lets subscribers detect lost pushes. */
    public static final Duration PUSH_INTERVAL = Duration.ofSeconds(1);

    /** Two intervals, so that one lost push does not end a confirmation. */
    static final Duration CONFIRMATION_VALIDITY = PUSH_INTERVAL.multipliedBy(2);

    /**
     * Bound on the encoded deltas that are kept. Parsed they take about four times as much, still a
     * small part of the heap, and a router that is further behind gets the full configuration.
     */
    static final long MAX_RETAINED_BYTES = 1 << 20;

    private final ControlStateMachine mState;
    private final ReplicatedLog mLog;
    private final EventLoop mLoop;
    private final TreeMap<Long, ConfigurationDelta> mDeltas = new TreeMap<>();
    private final Map<Link, Boolean> mSubscribers = new LinkedHashMap<>();
    private final TreeMap<String, Long> mReportedRevisions = new TreeMap<>();
    private final Map<String, Link> mRouterLinks = new HashMap<>();
    private long mRetainedBytes;
    private long mRevisionFloor;
    private long mConfirmedRevision = -1;
    private long mConfirmedNanos;

    /** Creates a publisher of {@code state}; the caller must register it there as the listener. */
    public ConfigurationPublisher(ControlStateMachine state, ReplicatedLog log, EventLoop loop) {
        mState = state;
        mLog = log;
        mLoop = loop;
    }

    @Override
    public void onChange(ConfigurationDelta delta) {
        mDeltas.put(mState.revision(), delta);
        mRetainedBytes += delta.getSerializedSize();
        while (mRetainedBytes > MAX_RETAINED_BYTES) {
            mRetainedBytes -= mDeltas.pollFirstEntry().getValue().getSerializedSize();
        }
        mSubscribers.forEach(
                (link, withContent) -> {
                    if (withContent) {
                        send(link, newPush().setDelta(delta));
                    }
                });
    }

    @Override
    public void onRestore() {
        mDeltas.clear();
        mRetainedBytes = 0;
        mSubscribers.forEach((link, withContent) -> sendChangesSince(link, 0, withContent));
    }

    /**
     * Subscribes a link to changes after {@code subscribe.revision}.
     *
     * <p>Routers get content. Control members replicate the content through the log, and get only
     * revisions and confirmations. The first push is sent after the leader's confirmation, so that
     * a router that restarted without state can start at once.
     */
    public void subscribe(Link link, Subscribe subscribe) {
        boolean withContent = !isControlMember(link);
        if (withContent) {
            recordRevision(link.peer().getVmId(), subscribe.getRevision());
            mRouterLinks.put(link.peer().getVmId(), link);
        }
        mSubscribers.put(link, withContent);
        confirmLeadershipThen(() -> sendChangesSince(link, subscribe.getRevision(), withContent));
    }

    /**
     * Records the active revision of a router, reported by the router or by another member.
     *
     * <p>Another member's report about a router that is linked to this member is ignored, since it
     * may be older than the router's own.
     */
    public void onReport(Link link, RevisionReport report) {
        if (!isControlMember(link) || !mRouterLinks.containsKey(report.getVmId())) {
            recordRevision(report.getVmId(), report.getRevision());
        }
    }

    /** Records the confirmation and the revision floor in a push from another control member. */
    public void onMemberPush(ConfigurationPush push) {
        mRevisionFloor = Math.max(mRevisionFloor, push.getRevisionFloor());
        if (push.getConfirmed()) {
            setConfirmed(push.getRevision(), mLoop.nowNanos());
        }
    }

    /** Removes a closed link; the revision that its process reported is kept. */
    public void onDown(Link link) {
        mSubscribers.remove(link);
        mRouterLinks.remove(link.peer().getVmId(), link);
    }

    /** Confirms leadership and pushes the current revision; call every {@link #PUSH_INTERVAL}. */
    public void tick() {
        confirmLeadershipThen(
                () ->
                        mSubscribers.forEach(
                                (link, withContent) -> sendPeriodicPush(link, withContent)));
    }

    private void sendPeriodicPush(Link link, boolean withContent) {
        send(link, newPush());
        if (!withContent) {
            mRouterLinks.keySet().forEach(vm -> sendReport(link, vm, mReportedRevisions.get(vm)));
        }
    }

    private void confirmLeadershipThen(Runnable task) {
        long startNanos = mLoop.nowNanos();
        mLog.confirmLeadership()
                .whenComplete(
                        (isLeader, failure) -> {
                            if (failure == null && isLeader) {
                                setConfirmed(mState.revision(), startNanos);
                            }
                            task.run();
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
                && mLoop.nowNanos() - mConfirmedNanos < CONFIRMATION_VALIDITY.toNanos();
    }

    /** Returns the encoded size of the deltas that are kept. */
    long retainedBytes() {
        return mRetainedBytes;
    }

    /** Returns whether a leader recently confirmed that the configuration here is current. */
    public boolean isConfirmed() {
        return confirmed();
    }

    private boolean isLeader() {
        return mLog.status().role() == RaftStatus.Role.LEADER;
    }

    private void sendChangesSince(Link link, long revision, boolean withContent) {
        if (!mSubscribers.containsKey(link)) {
            return;
        }
        long current = mState.revision();
        // A router without configuration also needs the empty one at revision 0.
        boolean needsFull = revision == 0;
        if (!withContent || (revision >= current && !needsFull)) {
            send(link, newPush());
            return;
        }
        SortedMap<Long, ConfigurationDelta> deltas = mDeltas.tailMap(revision + 1);
        if (needsFull || deltas.size() < current - revision) {
            send(link, newPush().setFull(mState.configuration()));
            return;
        }
        deltas.forEach((r, delta) -> send(link, newPush().setRevision(r).setDelta(delta)));
    }

    private ConfigurationPush.Builder newPush() {
        // A follower relays the flag to routers, but not to other members: two followers would
        // otherwise keep renewing the confirmation of a lost leader.
        return ConfigurationPush.newBuilder()
                .setRevision(mState.revision())
                .setConfirmed(confirmed())
                .setRevisionFloor(mRevisionFloor);
    }

    private void send(Link link, ConfigurationPush.Builder push) {
        // Content below the floor would revert a router that restarted without state.
        if (mState.revision() < mRevisionFloor) {
            push.clearContent();
        }
        if (isControlMember(link) && !isLeader()) {
            push.setConfirmed(false);
        }
        link.send(Envelope.newBuilder().setConfigurationPush(push).build());
    }

    private static void sendReport(Link link, String vmId, long revision) {
        RevisionReport report =
                RevisionReport.newBuilder().setVmId(vmId).setRevision(revision).build();
        link.send(Envelope.newBuilder().setRevisionReport(report).build());
    }

    private static boolean isControlMember(Link link) {
        return link.peer().getRole().equals("control");
    }

    // The latest report counts, not the highest, since a router that restarts without state reports
    // 0; the floor keeps the highest.
    private void recordRevision(String vmId, long revision) {
        mReportedRevisions.put(vmId, revision);
        mRevisionFloor = Math.max(mRevisionFloor, revision);
    }

    /** Returns the last reported revision by router. */
    public ImmutableMap<String, Long> reportedRevisions() {
        return ImmutableMap.copyOf(mReportedRevisions);
    }

    /** Returns the highest revision that any router reported. */
    public long revisionFloor() {
        return mRevisionFloor;
    }
}
