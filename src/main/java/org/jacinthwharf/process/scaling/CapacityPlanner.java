package org.jacinthwharf.process.scaling;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.jacinthwharf.process.scaling.Demand.DomainDemand;
import org.jacinthwharf.wire.generated.CapacityOrder;
import org.jacinthwharf.wire.generated.Service;

/**
 * Decides how many servers each service should have in each failure domain.
 *
 * <p>Not thread-safe; has no clock, network or randomness of its own. Invariants: a number is
 * between the limits of its service; it grows as soon as the need does, and falls only to the
 * largest need of the last two start times, in steps; nothing is ordered for a failure domain that
 * is closed or not seen.
 */
public final class CapacityPlanner {
    /** Part of the slots that is planned for; requests do not come evenly. */
    private static final double PLANNED_SLOTS_PART = 0.6;

    /** Start times for which the largest need counts: a dip is not worth a restart. */
    private static final double HELD_START_TIMES = 2;

    /**
     * Part of the servers by which a number falls for each second, unless it is less than one
     * server.
     */
    private static final double MAX_FALL_PART = 0.05;

    /** A call costs as much as a server for a second, so that each call should do more. */
    private static final long FALL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final double MAX_FALL_SECONDS = 4;

    /**
     * Part of the servers above which the need must be for a slow fall. What a server bears is
     * known only once the servers were full, and each step should be seen before the next one.
     */
    private static final double SLOW_FALL_PART = 0.4;

    /** Part of the servers by which the need must be lower, so that noise starts no servers. */
    private static final double MIN_FALL_PART = 0.1;

    /** Time in which a queue should be served; its requests do not wait for much longer. */
    private static final double QUEUE_SECONDS = 2;

    /** Time after the start of a member within which it hears of all servers. */
    private static final long DISCOVERY_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final long mStartNanos;
    private final Map<Subject, SubjectState> mSubjects = new HashMap<>();
    private final Map<String, SlotTime> mSlotTimes = new HashMap<>();

    /** What is known of a service in a failure domain. */
    private static final class SubjectState {
        final ServerRate mRate = new ServerRate();
        Optional<NeedHistory> mNeeds = Optional.empty();
        String mReason = "";
        int mMostServing;
        int mInForce = -1;
        long mInForceSinceNanos;
        boolean mDecidable;
    }

    /** The part of a service's demand that one failure domain is to bear. */
    private static final class Share {
        final SubjectState mState;
        final String mReason;
        double mNeed;

        Share(SubjectState state, double need, String reason) {
            mState = state;
            mNeed = need;
            mReason = reason;
        }
    }

    /** Creates a planner that has observed nothing. */
    public CapacityPlanner(long nowNanos) {
        mStartNanos = nowNanos;
    }

    /**
     * Computes the need; called once a second, also on members that may have to take over.
     *
     * @param closed failure domains that are out of service
     * @param orders the last order of each service and failure domain
     */
    public void observe(
            Collection<Service> services,
            Demand demand,
            ServerCounts servers,
            Set<String> closed,
            Collection<CapacityOrder> orders,
            long nowNanos) {
        Set<String> names = new TreeSet<>();
        for (Service service : services) {
            if (service.hasScaling()) {
                names.add(service.getName());
                observe(service, demand, servers, closed, orders, nowNanos);
            }
        }
        mSubjects.keySet().removeIf(s -> !names.contains(s.service()));
        mSlotTimes.keySet().retainAll(names);
    }

    private void observe(
            Service service,
            Demand demand,
            ServerCounts servers,
            Set<String> closed,
            Collection<CapacityOrder> orders,
            long nowNanos) {
        String name = service.getName();
        servers.domains(name).forEach(d -> state(new Subject(name, d)));
        orders.stream().filter(o -> o.getService().equals(name)).forEach(o -> state(Subject.of(o)));
        Map<String, DomainDemand> demands = demand.ofService(name);
        SlotTime slotTime = mSlotTimes.computeIfAbsent(name, s -> new SlotTime());
        slotTime.onDemand(demands.values().stream().reduce(DomainDemand.NONE, DomainDemand::plus));
        double slots =
                service.getEngineSlots() > 0 ? service.getEngineSlots() : servers.slots(name);
        Map<Subject, Share> shares = new TreeMap<>(Comparator.comparing(Subject::failureDomain));
        double elsewhere = 0;
        Set<String> domains = new TreeSet<>(demand.seenDomains());
        for (String domain : domains) {
            Subject subject = new Subject(name, domain);
            DomainDemand asked = demands.getOrDefault(domain, DomainDemand.NONE);
            SubjectState state = mSubjects.get(subject);
            if (state == null || closed.contains(domain)) {
                elsewhere += slotsNeeded(asked, slotTime) / (slots * PLANNED_SLOTS_PART);
            } else {
                boolean full = state.mRate.onDemand(asked, servers.warm(subject), nowNanos);
                shares.put(subject, share(state, asked, slotTime, slots, full));
            }
        }
        spread(elsewhere, shares.values(), service.getScaling().getMaxServers());
        for (Map.Entry<Subject, SubjectState> e : mSubjects.entrySet()) {
            if (e.getKey().service().equals(name)) {
                SubjectState state = e.getValue();
                state.mMostServing = Math.max(state.mMostServing, servers.serving(e.getKey()));
                record(state, Optional.ofNullable(shares.get(e.getKey())), service, nowNanos);
            }
        }
    }

    private SubjectState state(Subject subject) {
        return mSubjects.computeIfAbsent(subject, s -> new SubjectState());
    }

    private static Share share(
            SubjectState state, DomainDemand asked, SlotTime slotTime, double slots, boolean full) {
        double bySlots = slotsNeeded(asked, slotTime) / (slots * PLANNED_SLOTS_PART);
        double byRate = state.mRate.servers(asked).orElse(0);
        String reason =
                String.format(
                        Locale.ROOT,
                        "need %.1f by slots, %.1f by rate: asked %.1f/s, refused %.1f/s,"
                                + " waiting %d, running %d, slot time %.0f ms%s",
                        bySlots,
                        byRate,
                        asked.asked(),
                        asked.refused(),
                        asked.waiting(),
                        asked.running(),
                        1_000 * slotTime.seconds().orElse(0),
                        full ? ", servers full" : "");
        return new Share(state, Math.max(bySlots, byRate), reason);
    }

    /**
     * Returns the slots for what is asked and for the queue, which is to be served within {@link
     * #QUEUE_SECONDS}. While the time in a slot is not known, what runs and waits needs a slot
     * each.
     */
    private static double slotsNeeded(DomainDemand asked, SlotTime slotTime) {
        double seconds = slotTime.seconds().orElse(0);
        double queuePart = seconds == 0 ? 1 : Math.min(1, seconds / QUEUE_SECONDS);
        return Math.max(asked.running(), asked.asked() * seconds) + asked.waiting() * queuePart;
    }

    /** Gives what a failure domain cannot bear to those that can; gateways send there too. */
    private static void spread(double elsewhere, Collection<Share> shares, int maxServers) {
        double excess = elsewhere;
        double room = 0;
        for (Share s : shares) {
            excess += Math.max(0, s.mNeed - maxServers);
            room += Math.max(0, maxServers - s.mNeed);
        }
        if (excess <= 0 || room <= 0) {
            return;
        }
        double part = Math.min(1, excess / room);
        for (Share s : shares) {
            s.mNeed += part * Math.max(0, maxServers - s.mNeed);
        }
    }

    private static void record(
            SubjectState state, Optional<Share> share, Service service, long nowNanos) {
        state.mDecidable = share.isPresent();
        if (share.isEmpty()) {
            state.mNeeds = Optional.empty();
            return;
        }
        long held = (long) (HELD_START_TIMES * service.getScaling().getStartSeconds() * 1e9);
        if (state.mNeeds.isEmpty()) {
            state.mNeeds = Optional.of(new NeedHistory(nowNanos));
        }
        state.mNeeds.get().add(share.get().mNeed, held, nowNanos);
        state.mReason = share.get().mReason;
    }

    /** Returns the failure domains for which nothing is ordered. */
    public ImmutableSet<String> undecidedDomains() {
        ImmutableSet.Builder<String> domains = ImmutableSet.builder();
        mSubjects.forEach(
                (subject, state) -> {
                    if (!state.mDecidable) {
                        domains.add(subject.failureDomain());
                    }
                });
        return domains.build();
    }

    /**
     * Returns the orders to be made or repeated, those that raise a number first, the largest
     * increase first.
     *
     * @param orders the last order of each service and failure domain
     */
    public ImmutableList<CapacityOrder> orders(
            Collection<Service> services, Collection<CapacityOrder> orders, long nowNanos) {
        Map<Subject, CapacityOrder> last = new HashMap<>();
        orders.forEach(o -> last.put(Subject.of(o), o));
        List<Change> changes = new ArrayList<>();
        for (Service service : services) {
            mSubjects.forEach(
                    (subject, state) -> {
                        if (subject.service().equals(service.getName()) && service.hasScaling()) {
                            decide(subject, state, service, last.get(subject), nowNanos)
                                    .ifPresent(changes::add);
                        }
                    });
        }
        changes.sort(Comparator.comparingDouble(Change::growth).reversed());
        return changes.stream().map(Change::order).collect(ImmutableList.toImmutableList());
    }

    /** An order, with the number that it asks for divided by the one in force. */
    private record Change(CapacityOrder order, double growth) {}

    private Optional<Change> decide(
            Subject subject,
            SubjectState state,
            Service service,
            CapacityOrder last,
            long nowNanos) {
        boolean known = last != null || nowNanos - mStartNanos >= DISCOVERY_NANOS;
        if (!state.mDecidable || !known) {
            return Optional.empty();
        }
        int inForce = last == null ? state.mMostServing : last.getServers();
        if (inForce != state.mInForce) {
            state.mInForce = inForce;
            state.mInForceSinceNanos = nowNanos;
        }
        boolean unanswered = last != null && !last.getDelivered();
        int wanted = number(state, service, unanswered, nowNanos);
        if (wanted == inForce && !unanswered) {
            return Optional.empty();
        }
        CapacityOrder order =
                CapacityOrder.newBuilder()
                        .setService(subject.service())
                        .setFailureDomain(subject.failureDomain())
                        .setServers(wanted)
                        .setReason(
                                (wanted < inForce ? "fewer; " : "more; ")
                                        + "from "
                                        + inForce
                                        + ", "
                                        + state.mReason)
                        .build();
        return Optional.of(new Change(order, (double) wanted / Math.max(1, inForce)));
    }

    private static int number(
            SubjectState state, Service service, boolean unanswered, long nowNanos) {
        int min = service.getScaling().getMinServers();
        int max = Math.max(min, service.getScaling().getMaxServers());
        NeedHistory needs = state.mNeeds.orElseThrow();
        int inForce = state.mInForce;
        int wanted = clamp((int) Math.ceil(needs.newest()), min, max);
        int floor = clamp((int) Math.ceil(needs.largest()), min, max);
        if (wanted >= inForce || inForce > max) {
            return Math.min(max, Math.max(wanted, inForce));
        }
        long sinceNanos = nowNanos - state.mInForceSinceNanos;
        boolean worthwhile = floor == min || floor <= (1 - MIN_FALL_PART) * inForce;
        // An order that may still be carried out late is not replaced by a lower one.
        if (unanswered || !needs.isComplete() || sinceNanos < FALL_INTERVAL_NANOS || !worthwhile) {
            return inForce;
        }
        boolean slow = floor > SLOW_FALL_PART * inForce;
        double seconds = slow ? 1 : Math.min(MAX_FALL_SECONDS, sinceNanos / 1e9);
        int fall = (int) Math.floor(seconds * Math.max(1, MAX_FALL_PART * inForce));
        return Math.min(inForce, Math.max(floor, inForce - fall));
    }

    private static int clamp(int number, int min, int max) {
        return Math.max(min, Math.min(max, number));
    }
}
