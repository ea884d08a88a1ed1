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
 * <p>Not thread-safe; does no I/O. Invariants: the revision in use never falls; after a start with
 * empty memory the first one in use was confirmed by a leader, or is the highest that was offered
 * within {@link #START_WAIT} and not below any revision that a process of the fleet reported.
 */
public final class ConfigurationFollower {
    /** How long a router without configuration waits for one that a leader confirmed. */
    public static final Duration START_WAIT = Duration.ofSeconds(5);

    /** Between two questions to one member, so that a burst of changes asks once. */
    static final Duration ASK_INTERVAL = Duration.ofMillis(500);

    private final long mStartNanos;
    private final ConfigurationState mState = new ConfigurationState();
    private final Map<String, Long> mMembers = new LinkedHashMap<>();
    private Optional<Configuration> mInUse = Optional.empty();
    private Optional<Configuration> mCandidate = Optional.empty();
    private long mFloor;

    /** Creates a follower with empty memory that starts at the given time. */
    public ConfigurationFollower(long nowNanos) {
        mStartNanos = nowNanos;
    }

    /** What the router has to do. */
    public sealed interface Action {
        /** Use this configuration from now on. */
        record Use(Configuration configuration) implements Action {}

        /** Send a {@code Subscribe} with this revision to the member. */
        record Ask(String member, long revision) implements Action {}

        /** Send a {@code RevisionReport} with this revision to the member. */
        record Report(String member, long revision) implements Action {}
    }

    /** Returns the configuration in use; empty until the router may serve. */
    public Optional<Configuration> configuration() {
        return mInUse;
    }

    /** Returns the revision in use, 0 if there is none. */
    public long revision() {
        return mInUse.map(Configuration::getRevision).orElse(0L);
    }

    /** Takes note that a link to a control member is up. */
    public ImmutableList<Action> onUp(String member, long nowNanos) {
        return ask(member, nowNanos, true);
    }

    /** Takes note that the link to a control member is down. */
    public void onDown(String member) {
        mMembers.remove(member);
    }

    /** Takes note of the revision that another router has in use. */
    public void onPeerRevision(long revision) {
        mFloor = Math.max(mFloor, revision);
    }

    /** Decides on a push from a control member. */
    public ImmutableList<Action> onPush(String member, ConfigurationPush push, long nowNanos) {
        mFloor = Math.max(mFloor, push.getRevisionFloor());
        if (mInUse.isEmpty()) {
            return onFirstPush(member, push, nowNanos);
        }
        if (push.getRevision() <= revision()) {
            // The reply to each round repeats a report that may have been lost.
            return push.hasFull() || push.hasDelta()
                    ? ImmutableList.of()
                    : ImmutableList.of(new Action.Report(member, revision()));
        }
        if (push.hasFull()) {
            return use(push.getFull());
        }
        if (push.hasDelta() && push.getDelta().getBaseRevision() == revision()) {
            mState.apply(push.getDelta(), push.getRevision());
            return use(mState.toMessage());
        }
        return ask(member, nowNanos, false);
    }

    private ImmutableList<Action> onFirstPush(
            String member, ConfigurationPush push, long nowNanos) {
        if (push.hasFull() && push.getFull().getRevision() >= candidateRevision()) {
            mCandidate = Optional.of(push.getFull());
        }
        boolean heldWhole = candidateRevision() == push.getRevision();
        if (push.getConfirmed() && heldWhole && push.getRevision() >= mFloor) {
            return use(mCandidate.orElseThrow());
        }
        ImmutableList<Action> chosen = chooseAfterWait(nowNanos);
        boolean newer = push.getRevision() > Math.max(candidateRevision(), revision());
        return newer && chosen.isEmpty() ? ask(member, nowNanos, false) : chosen;
    }

    /** Decides what the passing of time changes; call at least every second. */
    public ImmutableList<Action> tick(long nowNanos) {
        return mInUse.isEmpty() ? chooseAfterWait(nowNanos) : ImmutableList.of();
    }

    private ImmutableList<Action> chooseAfterWait(long nowNanos) {
        boolean waited = nowNanos - mStartNanos >= START_WAIT.toNanos();
        return waited && mCandidate.isPresent() && candidateRevision() >= mFloor
                ? use(mCandidate.orElseThrow())
                : ImmutableList.of();
    }

    private long candidateRevision() {
        return mCandidate.map(Configuration::getRevision).orElse(-1L);
    }

    private ImmutableList<Action> use(Configuration configuration) {
        mState.replace(configuration);
        mInUse = Optional.of(configuration);
        mCandidate = Optional.empty();
        ImmutableList.Builder<Action> actions = ImmutableList.builder();
        actions.add(new Action.Use(configuration));
        mMembers.keySet().forEach(m -> actions.add(new Action.Report(m, revision())));
        return actions.build();
    }

    private ImmutableList<Action> ask(String member, long nowNanos, boolean always) {
        Long asked = mMembers.get(member);
        if (!always && asked != null && nowNanos - asked < ASK_INTERVAL.toNanos()) {
            return ImmutableList.of();
        }
        mMembers.put(member, nowNanos);
        return ImmutableList.of(new Action.Ask(member, revision()));
    }
}
