package org.jacinthwharf.process.control;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.jacinthwharf.wire.generated.Configuration;
import org.jacinthwharf.wire.generated.ConfigurationPush;

/**
 * Decides which configuration a router uses, from the pushes of several control members.
 *
 * <p>Not thread-safe; does no I/O. Invariants: the active revision never decreases; after a start
 * without state the first active revision was confirmed by a leader, or is the highest one received
 * within {@link #START_CONFIRMATION_TIMEOUT} and not below any revision that another process
 * reported.
 */
public final class ConfigurationFollower {
    /** How long a router without configuration waits for one that is confirmed by a leader. */
    public static final Duration START_CONFIRMATION_TIMEOUT = Duration.ofSeconds(5);

    /** Minimum time between subscriptions to one member; limits a burst of changes to one. */
    static final Duration SUBSCRIBE_INTERVAL = Duration.ofMillis(500);

    private final long mStartNanos;
    private final ConfigurationState mState = new ConfigurationState();
    private final Map<String, Long> mLastSubscribedNanos = new LinkedHashMap<>();
    private Optional<Configuration> mActive = Optional.empty();
    private Optional<Configuration> mCandidate = Optional.empty();
    private long mRevisionFloor;

    /** Creates a follower without state that starts at the given time. */
    public ConfigurationFollower(long nowNanos) {
        mStartNanos = nowNanos;
    }

    /** An action that the router has to perform. */
    public sealed interface Action {
        /** Make this configuration the active one. */
        record Activate(Configuration configuration) implements Action {}

        /** Send a {@code Subscribe} with this revision to the member. */
        record RequestSubscription(String member, long revision) implements Action {}

        /** Send a {@code RevisionReport} with this revision to the member. */
        record Report(String member, long revision) implements Action {}
    }

    /** Returns the active configuration; empty until the router may serve. */
    public Optional<Configuration> configuration() {
        return mActive;
    }

    /** Returns the active revision, 0 if there is none. */
    public long revision() {
        return mActive.map(Configuration::getRevision).orElse(0L);
    }

    /** Subscribes to a control member whose link came up. */
    public ImmutableList<Action> onUp(String member, long nowNanos) {
        return subscribe(member, nowNanos, true);
    }

    /** Records that the link to a control member is down. */
    public void onDown(String member) {
        mLastSubscribedNanos.remove(member);
    }

    /** Records the revision that is active at another router. */
    public void recordPeerRevision(long revision) {
        mRevisionFloor = Math.max(mRevisionFloor, revision);
    }

    /** Processes a push from a control member. */
    public ImmutableList<Action> onPush(String member, ConfigurationPush push, long nowNanos) {
        mRevisionFloor = Math.max(mRevisionFloor, push.getRevisionFloor());
        if (mActive.isEmpty()) {
            return onFirstPush(member, push, nowNanos);
        }
        if (push.getRevision() <= revision()) {
            // Reply to each periodic push, since an earlier report may have been lost.
            return push.hasFull() || push.hasDelta()
                    ? ImmutableList.of()
                    : ImmutableList.of(new Action.Report(member, revision()));
        }
        if (push.hasFull()) {
            return activate(push.getFull());
        }
        if (push.hasDelta() && push.getDelta().getBaseRevision() == revision()) {
            mState.apply(push.getDelta(), push.getRevision());
            return activate(mState.toMessage());
        }
        return subscribe(member, nowNanos, false);
    }

    private ImmutableList<Action> onFirstPush(
            String member, ConfigurationPush push, long nowNanos) {
        if (push.hasFull() && push.getFull().getRevision() >= candidateRevision()) {
            mCandidate = Optional.of(push.getFull());
        }
        boolean candidateCurrent = candidateRevision() == push.getRevision();
        if (push.getConfirmed() && candidateCurrent && push.getRevision() >= mRevisionFloor) {
            return activate(mCandidate.orElseThrow());
        }
        ImmutableList<Action> actions = activateAfterTimeout(nowNanos);
        boolean newer = push.getRevision() > Math.max(candidateRevision(), revision());
        return newer && actions.isEmpty() ? subscribe(member, nowNanos, false) : actions;
    }

    /**
     * Activates the candidate once {@link #START_CONFIRMATION_TIMEOUT} has passed; call at least
     * every second.
     */
    public ImmutableList<Action> tick(long nowNanos) {
        return mActive.isEmpty() ? activateAfterTimeout(nowNanos) : ImmutableList.of();
    }

    private ImmutableList<Action> activateAfterTimeout(long nowNanos) {
        boolean timedOut = nowNanos - mStartNanos >= START_CONFIRMATION_TIMEOUT.toNanos();
        return timedOut && mCandidate.isPresent() && candidateRevision() >= mRevisionFloor
                ? activate(mCandidate.orElseThrow())
                : ImmutableList.of();
    }

    private long candidateRevision() {
        return mCandidate.map(Configuration::getRevision).orElse(-1L);
    }

    private ImmutableList<Action> activate(Configuration configuration) {
        mState.replace(configuration);
        mActive = Optional.of(configuration);
        mCandidate = Optional.empty();
        ImmutableList.Builder<Action> actions = ImmutableList.builder();
        actions.add(new Action.Activate(configuration));
        mLastSubscribedNanos.keySet().forEach(m -> actions.add(new Action.Report(m, revision())));
        return actions.build();
    }

    private ImmutableList<Action> subscribe(String member, long nowNanos, boolean force) {
        Long lastNanos = mLastSubscribedNanos.get(member);
        if (!force && lastNanos != null && nowNanos - lastNanos < SUBSCRIBE_INTERVAL.toNanos()) {
            return ImmutableList.of();
        }
        mLastSubscribedNanos.put(member, nowNanos);
        return ImmutableList.of(new Action.RequestSubscription(member, revision()));
    }
}
