package org.jacinthwharf.request.admission;

import com.google.common.base.Preconditions;
import java.util.DoubleSummaryStatistics;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.wire.generated.CustomerTotal;
import org.jacinthwharf.wire.generated.OriginTotals;
import org.jacinthwharf.wire.generated.ServiceTotals;

/**
 * Maintains a counter per customer for weighted fair queueing: the virtual time of the customer,
 * which is the service that it received from all routers, divided by its weight, raised when the
 * customer becomes backlogged and limited after a partition.
 *
 * <p>Every origin, a router incarnation or a sum over several of them, reports two monotonic totals
 * per customer, charged and refunded. Merging takes the maximum of each, so the result is
 * independent of duplicate, lost and reordered messages once a later one arrives. A sum over
 * several origins must exclude the origin that it is sent to.
 *
 * <p>Invariants: this router's own totals never decrease and are never merged from a message. When
 * a customer that was backlogged at no router becomes backlogged at any, its counter is raised to
 * at least the smallest counter of the customers that were already backlogged. Not thread-safe.
 * Memory is linear in the number of customers times origins.
 */
public final class ServiceLedger {
    // Number of rounds in which a changed total is sent, since a link drops messages above its
    // high-water mark.
    private static final int SENDS_PER_CHANGE = 3;
    // Interval, in rounds, at which all nonzero totals are resent, for a coordinator that started
    // later. Receivers assume zero for absent totals: to send zeros for 2,900 customers would cost
    // each link more than 5 KB/s.
    private static final int RESEND_ALL_ROUNDS = 50;

    private static final class Account {
        double mWeight = 1;
        double mCounter;
        double mCharged;
        double mRefunded;
        int mSendsRemaining;
        boolean mBackloggedHere;
        // Expiry times of the reports, by origin, that the customer is backlogged elsewhere.
        final Map<String, Long> mBackloggedElsewhere = new HashMap<>();
    }

    private record ReportedTotals(double charged, double refunded) {}

    private final String mOrigin;
    private final long mBacklogLifetimeNanos;
    private final Map<CustomerId, Account> mAccounts = new HashMap<>();
    private final Set<Account> mBacklogged = new HashSet<>();
    private final Map<String, Map<CustomerId, ReportedTotals>> mOrigins = new HashMap<>();
    // Counter of the customer that was backlogged last; used as the minimum while no customer is
    // backlogged.
    private double mLastBackloggedCounter;
    private double mRejoinBound;
    private long mRejoinUntil = Long.MIN_VALUE;
    private long mRound;

    /** Service of all routers to all customers, as far as this router knows. */
    private double mTotalService;

    /**
     * Creates an empty ledger.
     *
     * @param origin this router incarnation, {@code vmId/incarnation}
     * @param exchangeIntervalNanos interval of {@link #nextTotals}; a report that a customer is
     *     backlogged elsewhere expires after five intervals
     */
    public ServiceLedger(String origin, long exchangeIntervalNanos) {
        Preconditions.checkArgument(
                exchangeIntervalNanos > 0,
                "exchange interval must be positive: %s",
                exchangeIntervalNanos);
        mOrigin = origin;
        mBacklogLifetimeNanos = 5 * exchangeIntervalNanos;
    }

    /** Sets the weight of a customer for future service; the default is 1. */
    public void setWeight(CustomerId customer, double weight) {
        Preconditions.checkArgument(
                weight > 0 && Double.isFinite(weight),
                "weight of customer %s must be positive and finite: %s",
                customer,
                weight);
        account(customer).mWeight = weight;
    }

    /** Returns the weight of a customer. */
    public double weight(CustomerId customer) {
        Account account = mAccounts.get(customer);
        return account == null ? 1 : account.mWeight;
    }

    /**
     * Returns the virtual time of a customer, in cost units divided by weight; see the class
     * comment.
     */
    public double counter(CustomerId customer) {
        Account account = mAccounts.get(customer);
        return account == null ? 0 : account.mCounter;
    }

    /** Charges service provided by this router, in cost units. */
    public void charge(CustomerId customer, double units) {
        Preconditions.checkArgument(
                units >= 0, "charge to customer %s must not be negative: %s", customer, units);
        Account account = account(customer);
        account.mCharged += units;
        mTotalService += units;
        account.mCounter += units / account.mWeight;
        account.mSendsRemaining = SENDS_PER_CHANGE;
    }

    /** Refunds service charged by this router, in cost units. */
    public void refund(CustomerId customer, double units) {
        Preconditions.checkArgument(
                units >= 0, "refund to customer %s must not be negative: %s", customer, units);
        Account account = account(customer);
        account.mRefunded += units;
        mTotalService -= units;
        account.mCounter -= units / account.mWeight;
        account.mSendsRemaining = SENDS_PER_CHANGE;
    }

    /** Sets whether this router holds waiting requests of the customer. */
    public void setBacklogged(CustomerId customer, boolean backlogged) {
        Account account = account(customer);
        if (account.mBackloggedHere == backlogged) {
            return;
        }
        account.mBackloggedHere = backlogged;
        account.mSendsRemaining = SENDS_PER_CHANGE;
        refreshBacklog(account);
    }

    /** Merges totals received from another router or a coordinator. */
    public void merge(ServiceTotals message, long nowNanos) {
        for (OriginTotals origin : message.getOriginsList()) {
            if (origin.getOrigin().equals(mOrigin)) {
                continue;
            }
            for (CustomerTotal total : origin.getTotalsList()) {
                merge(origin.getOrigin(), CustomerId.of(total.getCustomer()), total, nowNanos);
            }
        }
        expireBacklog(nowNanos);
        if (nowNanos < mRejoinUntil) {
            clamp();
        }
    }

    private void merge(String origin, CustomerId customer, CustomerTotal total, long nowNanos) {
        Map<CustomerId, ReportedTotals> known =
                mOrigins.computeIfAbsent(origin, o -> new HashMap<>());
        boolean firstReport = !known.containsKey(customer);
        ReportedTotals before = known.getOrDefault(customer, new ReportedTotals(0, 0));
        ReportedTotals after =
                new ReportedTotals(
                        Math.max(before.charged(), total.getTotal()),
                        Math.max(before.refunded(), total.getRefunded()));
        known.put(customer, after);
        Account account = account(customer);
        double service =
                after.charged() - before.charged() - (after.refunded() - before.refunded());
        account.mCounter += service / account.mWeight;
        // The first report may hold the service of many minutes.
        mTotalService += firstReport ? 0 : service;
        if (total.getBacklogged()) {
            account.mBackloggedElsewhere.put(origin, nowNanos + mBacklogLifetimeNanos);
        } else {
            account.mBackloggedElsewhere.remove(origin);
        }
        refreshBacklog(account);
    }

    /**
     * Starts clamping after a partition: until {@code untilNanos}, each merge limits all counters
     * to the smallest backlogged one plus {@code bound}.
     */
    public void onRejoin(FairnessBound bound, long untilNanos) {
        mRejoinBound = bound.value();
        mRejoinUntil = untilNanos;
        clamp();
    }

    private void clamp() {
        if (!mBacklogged.isEmpty()) {
            double limit = smallestBacklogged() + mRejoinBound;
            mAccounts.values().forEach(a -> a.mCounter = Math.min(a.mCounter, limit));
        }
    }

    /** Returns the totals to send in this exchange round; may have no entries. */
    public ServiceTotals nextTotals() {
        boolean resendAll = mRound++ % RESEND_ALL_ROUNDS == 0;
        OriginTotals.Builder totals = OriginTotals.newBuilder().setOrigin(mOrigin);
        mAccounts.forEach(
                (customer, account) -> {
                    boolean resent = resendAll && account.mCharged > 0;
                    if (resent || account.mSendsRemaining > 0 || account.mBackloggedHere) {
                        account.mSendsRemaining = Math.max(0, account.mSendsRemaining - 1);
                        totals.addTotals(
                                CustomerTotal.newBuilder()
                                        .setCustomer(customer.value())
                                        .setTotal(account.mCharged)
                                        .setRefunded(account.mRefunded)
                                        .setBacklogged(account.mBackloggedHere));
                    }
                });
        return ServiceTotals.newBuilder().setSender(mOrigin).addOrigins(totals).build();
    }

    private void expireBacklog(long nowNanos) {
        for (Account account : List.copyOf(mBacklogged)) {
            account.mBackloggedElsewhere.values().removeIf(until -> until <= nowNanos);
            refreshBacklog(account);
        }
    }

    private void refreshBacklog(Account account) {
        boolean backlogged = account.mBackloggedHere || !account.mBackloggedElsewhere.isEmpty();
        if (backlogged && !mBacklogged.contains(account)) {
            account.mCounter = Math.max(account.mCounter, smallestBacklogged());
            mBacklogged.add(account);
        } else if (!backlogged && mBacklogged.remove(account) && mBacklogged.isEmpty()) {
            mLastBackloggedCounter = account.mCounter;
        }
    }

    private double smallestBacklogged() {
        return mBacklogged.stream()
                .mapToDouble(a -> a.mCounter)
                .min()
                .orElse(mLastBackloggedCounter);
    }

    /**
     * Returns the excess of a customer's counter over the smallest counter of the backlogged
     * customers of all routers; 0 if no customer is backlogged.
     */
    public double leadOverBacklogged(CustomerId customer) {
        return mBacklogged.isEmpty() ? 0 : Math.max(0, counter(customer) - smallestBacklogged());
    }

    /**
     * Returns the lead of a customer as a fraction of the largest lead of a backlogged customer; 1
     * at most, and 0 if the customer has no lead.
     */
    public double relativeLead(CustomerId customer) {
        if (mBacklogged.isEmpty()) {
            return 0;
        }
        DoubleSummaryStatistics counters =
                mBacklogged.stream().mapToDouble(a -> a.mCounter).summaryStatistics();
        double lead = counter(customer) - counters.getMin();
        return lead <= 0 ? 0 : Math.min(1, lead / (counters.getMax() - counters.getMin()));
    }

    /** Returns the service of all routers to all customers, as far as this router knows. */
    double totalService() {
        return mTotalService;
    }

    /**
     * Raises the counters of backlogged customers that are so far behind the one with the largest
     * counter that all of them would have to receive more than {@code service} together, in equal
     * shares, until they reach it. A lead of {@code minLead} is always kept. The order of the
     * customers stays the same.
     */
    void limitLeads(double service, double minLead) {
        if (mBacklogged.isEmpty()) {
            return;
        }
        double weights = mBacklogged.stream().mapToDouble(a -> a.mWeight).sum();
        double largest = mBacklogged.stream().mapToDouble(a -> a.mCounter).max().orElse(0);
        double floor = largest - Math.max(minLead, service / weights);
        mBacklogged.forEach(a -> a.mCounter = Math.max(a.mCounter, floor));
    }

    /**
     * Returns the number of backlogged customers by origin; a customer that is backlogged at
     * several origins counts in equal parts at each.
     */
    public Map<String, Double> backlogByOrigin() {
        Map<String, Double> backlog = new HashMap<>();
        for (Account a : mBacklogged) {
            int origins = a.mBackloggedElsewhere.size() + (a.mBackloggedHere ? 1 : 0);
            double part = 1.0 / origins;
            a.mBackloggedElsewhere.keySet().forEach(o -> backlog.merge(o, part, Double::sum));
            if (a.mBackloggedHere) {
                backlog.merge(mOrigin, part, Double::sum);
            }
        }
        return backlog;
    }

    private Account account(CustomerId customer) {
        return mAccounts.computeIfAbsent(customer, c -> new Account());
    }
}
