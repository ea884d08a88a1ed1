package org.jacinthwharf.process.duty;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.Iterables;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.jacinthwharf.id.LogText;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.consensus.ProposeOutcome;
import org.jacinthwharf.process.consensus.ReplicatedLog;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.metrics.FleetMetrics;
import org.jacinthwharf.process.settings.DutySettings;
import org.jacinthwharf.wire.generated.CapacityOrder;
import org.jacinthwharf.wire.generated.Command;
import org.jacinthwharf.wire.generated.CustomerCount;
import org.jacinthwharf.wire.generated.DutyGrant;
import org.jacinthwharf.wire.generated.UsageWindow;

/**
 * Performs the duties of the fleet while this control member holds them.
 *
 * <p>Used on the event loop only. Invariants: a report has the counts that the log fixed for its
 * window; an order is in the log before it is sent; at most one call of a duty is under way.
 */
public final class DutyDriver {
    /** Interval of {@link #tick}; a report has seconds, and a tick without work costs little. */
    public static final Duration TICK = Duration.ofMillis(100);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Interval at which the wanted servers are computed, as often as gateways report twice. */
    private static final long SCALING_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final VmId mSelf;
    private final DutySettings mSettings;
    private final DutyState mState;
    private final ReplicatedLog mLog;
    private final EventLoop mLoop;
    private final OutsideInterface mOutside;
    private final UsageSource mUsage;
    private final ScalingSource mScaling;
    private final FleetMetrics mMetrics;
    private final RandomGenerator mRandom;
    private final OutsidePacing mPacing;
    private final Map<Duty, Work> mWork = new EnumMap<>(Duty.class);
    private long mScaledNanos = Long.MIN_VALUE / 2;

    /** What is under way for a duty. */
    private static final class Work {
        final DutyHolder mHolder;
        int mProposals;
        boolean mCalling;
        long mLoggedToken;

        /** The last call, if it got no answer or was rejected. */
        Optional<OutsideCall> mUnsettled = Optional.empty();

        Work(DutyHolder holder) {
            mHolder = holder;
        }
    }

    /** Creates a driver; the caller calls {@link #tick} regularly. */
    public DutyDriver(
            VmId self,
            DutySettings settings,
            DutyState state,
            ReplicatedLog log,
            EventLoop loop,
            OutsideInterface outside,
            UsageSource usage,
            ScalingSource scaling,
            FleetMetrics metrics,
            RandomGenerator random) {
        mSelf = self;
        mSettings = settings;
        mState = state;
        mLog = log;
        mLoop = loop;
        mOutside = outside;
        mUsage = usage;
        mScaling = scaling;
        mMetrics = metrics;
        mRandom = random;
        mPacing = new OutsidePacing(settings.callsPerSecond());
        for (Duty duty : settings.duties()) {
            mWork.put(duty, new Work(new DutyHolder(self, settings.leaseMillis())));
        }
    }

    /** Does what is due: requests grants, fixes windows, records orders, makes calls. */
    public void tick() {
        mWork.forEach(this::tick);
    }

    private void tick(Duty duty, Work work) {
        DutyHolder.Step step =
                work.mHolder.next(mLog.status(), mState.grant(duty), mLoop.nowNanos());
        reportHold(duty, work, step);
        if (step == DutyHolder.Step.NONE || work.mProposals > 0) {
            return;
        }
        if (step == DutyHolder.Step.REQUEST_GRANT) {
            requestGrant(duty, work);
            return;
        }
        if (duty == Duty.USAGE_REPORT) {
            fixWindow(work);
        } else {
            recordOrders(work);
        }
        if (step == DutyHolder.Step.CONFIRM
                && !work.mCalling
                && work.mProposals == 0
                && mPacing.mayCall(duty, mLoop.nowNanos())) {
            nextCall(duty, work).ifPresent(call -> confirmAndCall(work, call));
        }
    }

    private void reportHold(Duty duty, Work work, DutyHolder.Step step) {
        boolean holds = step == DutyHolder.Step.WAIT || step == DutyHolder.Step.CONFIRM;
        long token = holds ? mState.token(duty) : 0;
        if (token == work.mLoggedToken) {
            return;
        }
        if (holds) {
            LOGGER.atInfo().log(
                    "event=duty_granted duty=%s token=%d holder=%s waits=%b",
                    duty, token, mSettings.holderName(), step == DutyHolder.Step.WAIT);
        } else {
            LOGGER.atInfo().log("event=duty_lost duty=%s token=%d", duty, work.mLoggedToken);
        }
        work.mLoggedToken = token;
        mMetrics.setDutyToken(duty.name(), token);
    }

    // --- Grants ---------------------------------------------------------------------------------

    private void requestGrant(Duty duty, Work work) {
        DutyGrant.Builder grant =
                DutyGrant.newBuilder()
                        .setDuty(duty.name())
                        .setVmId(mSelf.value())
                        .setTerm(mLog.status().term());
        if (duty == Duty.USAGE_REPORT) {
            grant.setWindowMillis(mSettings.usageWindowMillis());
        }
        propose(work, Command.newBuilder().setGrantDuty(grant), applied -> {});
    }

    private void propose(Work work, Command.Builder command, Consumer<Boolean> onOutcome) {
        work.mProposals++;
        Command proposed = command.setNowMillis(mUsage.fleetMillis()).build();
        mLog.propose(proposed.toByteString())
                .thenAccept(
                        outcome -> {
                            work.mProposals--;
                            boolean applied = outcome instanceof ProposeOutcome.Applied;
                            if (!applied) {
                                LOGGER.atInfo().log(
                                        "event=duty_change_not_applied change=%s outcome=%s",
                                        proposed.getChangeCase(),
                                        outcome.getClass().getSimpleName());
                            }
                            onOutcome.accept(applied);
                        });
    }

    // --- Usage ----------------------------------------------------------------------------------

    private void fixWindow(Work work) {
        if (mState.windowMillis() != mSettings.usageWindowMillis()) {
            return;
        }
        Optional<UsageWindow> ready = mUsage.ready(mState.nextWindow());
        ready.ifPresent(
                w -> propose(work, Command.newBuilder().setFixUsage(w), a -> logFixed(w, a)));
    }

    private void logFixed(UsageWindow window, boolean applied) {
        if (!applied) {
            return;
        }
        LOGGER.atInfo().log(
                "event=usage_window_fixed window=%d customers=%d requests=%d age_ms=%d",
                window.getWindow(),
                window.getCountsCount(),
                window.getCountsList().stream().mapToLong(CustomerCount::getRequests).sum(),
                millisSinceEnd(window.getWindow()));
        mMetrics.setUsageWindow("fixed", window.getWindow());
    }

    private long millisSinceEnd(long window) {
        return mUsage.fleetMillis() - (window + 1) * mSettings.usageWindowMillis();
    }

    private static OutsideCall.Usage call(UsageWindow window, long token) {
        ImmutableSortedMap.Builder<String, Long> counts = ImmutableSortedMap.naturalOrder();
        window.getCountsList().forEach(c -> counts.put(c.getCustomer(), c.getRequests()));
        return new OutsideCall.Usage(token, window.getWindow(), counts.buildOrThrow());
    }

    // --- Servers --------------------------------------------------------------------------------

    private void recordOrders(Work work) {
        long now = mLoop.nowNanos();
        if (work.mCalling || now - mScaledNanos < SCALING_INTERVAL_NANOS) {
            return;
        }
        List<CapacityOrder> wanted = mScaling.wanted(mState.orders());
        long token = mState.token(Duty.SERVER_SCALING);
        for (CapacityOrder order : wanted) {
            Optional<CapacityOrder> last =
                    mState.order(order.getService(), order.getFailureDomain());
            boolean same = last.filter(l -> l.getServers() == order.getServers()).isPresent();
            boolean unanswered = last.filter(l -> !l.getDelivered()).isPresent();
            boolean current = last.filter(l -> l.getToken() == token).isPresent();
            if (same && (current || !unanswered)) {
                continue;
            }
            if (!same && unanswered && current) {
                // The earlier order may be carried out late; a higher token makes it void.
                requestGrant(Duty.SERVER_SCALING, work);
                return; // Orders are recorded under the new token, at the next tick.
            }
            propose(
                    work,
                    Command.newBuilder().setRecordOrder(order.toBuilder().setToken(token)),
                    applied -> {});
        }
        mScaledNanos = now;
    }

    // --- Calls ----------------------------------------------------------------------------------

    private Optional<OutsideCall> nextCall(Duty duty, Work work) {
        long token = mState.token(duty);
        if (duty == Duty.USAGE_REPORT) {
            return nextOf(mState.pendingWindows(), w -> isAbout(work.mUnsettled, w))
                    .map(w -> call(w, token));
        }
        List<CapacityOrder> due =
                mState.orders().stream()
                        .filter(o -> !o.getDelivered() && o.getToken() == token)
                        .toList();
        return nextOf(due, o -> isAbout(work.mUnsettled, o))
                .map(
                        o ->
                                new OutsideCall.Capacity(
                                        token,
                                        o.getService(),
                                        o.getFailureDomain(),
                                        o.getServers()));
    }

    /**
     * Returns the first element, or the one after that of an unsettled call: a call whose answers
     * are lost or too slow must not hold up all others.
     */
    private static <T> Optional<T> nextOf(List<T> due, Predicate<T> isUnsettled) {
        int unsettled = Iterables.indexOf(due, isUnsettled::test);
        return due.isEmpty()
                ? Optional.empty()
                : Optional.of(due.get((unsettled + 1) % due.size()));
    }

    private static boolean isAbout(Optional<OutsideCall> call, UsageWindow window) {
        return call.filter(
                        c -> c instanceof OutsideCall.Usage u && u.window() == window.getWindow())
                .isPresent();
    }

    private static boolean isAbout(Optional<OutsideCall> call, CapacityOrder order) {
        return call.filter(
                        c ->
                                c instanceof OutsideCall.Capacity o
                                        && o.service().equals(order.getService())
                                        && o.failureDomain().equals(order.getFailureDomain()))
                .isPresent();
    }

    private void confirmAndCall(Work work, OutsideCall call) {
        work.mCalling = true;
        long term = mLog.status().term();
        ClockReading began = ClockReading.of(mLoop);
        mLog.confirmLeadership()
                .thenAccept(
                        confirmed -> {
                            if (confirmed) {
                                work.mHolder.onConfirmed(term, began);
                            }
                            if (maySend(work, call)) {
                                send(work, call);
                            } else {
                                work.mCalling = false;
                            }
                        });
    }

    private boolean maySend(Work work, OutsideCall call) {
        return work.mHolder.maySend(
                call.token(), mLog.status(), mState.grant(call.duty()), ClockReading.of(mLoop));
    }

    private void send(Work work, OutsideCall call) {
        mPacing.onCall(mLoop.nowNanos());
        mOutside.call(call, () -> maySend(work, call))
                .thenAccept(answer -> onAnswer(work, call, answer));
    }

    private void onAnswer(Work work, OutsideCall call, OutsideAnswer answer) {
        work.mCalling = false;
        boolean unsettled = answer == OutsideAnswer.UNKNOWN || answer == OutsideAnswer.REJECTED;
        work.mUnsettled = unsettled ? Optional.of(call) : Optional.empty();
        mPacing.onAnswer(call.duty(), answer, mLoop.nowNanos(), mRandom.nextDouble());
        mMetrics.countEvent(Ascii.toLowerCase("outside_call_" + call.duty() + "_" + answer));
        if (answer != OutsideAnswer.DONE) {
            LOGGER.atInfo().log(
                    "event=outside_call_failed duty=%s token=%d answer=%s call=%s",
                    call.duty(), call.token(), answer, describe(call));
        }
        if (answer == OutsideAnswer.FENCED) {
            work.mHolder.retire(call.token());
        } else if (answer == OutsideAnswer.DONE) {
            recordDelivery(work, call);
        }
    }

    private static String describe(OutsideCall call) {
        if (call instanceof OutsideCall.Capacity c) {
            return c.service() + "/" + c.failureDomain() + "=" + c.servers();
        }
        return "window " + ((OutsideCall.Usage) call).window();
    }

    private void recordDelivery(Work work, OutsideCall call) {
        if (call instanceof OutsideCall.Usage u) {
            long age = millisSinceEnd(u.window());
            if (age > mSettings.usageDelayMillis()) {
                mMetrics.countEvent("usage_window_late");
            }
            LOGGER.atInfo().log(
                    "event=usage_reported window=%d token=%d customers=%d age_ms=%d",
                    u.window(), u.token(), u.counts().size(), age);
            mMetrics.setUsageWindow("reported", u.window());
            propose(work, Command.newBuilder().setUsageDelivered(u.window()), applied -> {});
        } else if (call instanceof OutsideCall.Capacity c) {
            CapacityOrder order =
                    mState.order(c.service(), c.failureDomain())
                            .orElse(CapacityOrder.getDefaultInstance());
            LOGGER.atInfo().log(
                    "event=capacity_ordered service=%s failure_domain=%s servers=%d token=%d"
                            + " reason=%s",
                    LogText.of(c.service()),
                    LogText.of(c.failureDomain()),
                    c.servers(),
                    c.token(),
                    LogText.of(order.getReason()));
            mMetrics.setServersOrdered(c.service(), c.failureDomain(), c.servers());
            propose(
                    work,
                    Command.newBuilder()
                            .setOrderDelivered(
                                    CapacityOrder.newBuilder()
                                            .setService(c.service())
                                            .setFailureDomain(c.failureDomain())
                                            .setServers(c.servers())
                                            .setToken(c.token())),
                    applied -> {});
        }
    }
}
