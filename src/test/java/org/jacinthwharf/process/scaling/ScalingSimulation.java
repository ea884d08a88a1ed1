package org.jacinthwharf.process.scaling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.DoubleUnaryOperator;
import org.jacinthwharf.process.membership.ServerDirectory;
import org.jacinthwharf.wire.generated.CapacityOrder;
import org.jacinthwharf.wire.generated.Hello;
import org.jacinthwharf.wire.generated.ServerRecord;
import org.jacinthwharf.wire.generated.ServerScaling;
import org.jacinthwharf.wire.generated.ServerStatus;
import org.jacinthwharf.wire.generated.Service;
import org.jacinthwharf.wire.generated.ServiceDemand;
import org.jacinthwharf.wire.generated.UsageReport;

/**
 * A service under load in failure domains that serve their own callers, with a platform that keeps
 * the ordered number of servers and needs the start time for each new one.
 */
final class ScalingSimulation {
    static final int START_SECONDS = 8;
    static final int SLOTS = 8;

    private static final double STEP = 0.05;
    private static final double MAX_WAIT_SECONDS = 1;
    private static final int GATEWAYS = 4;
    private static final long SECOND = 1_000_000_000L;

    final Map<String, Domain> mDomains = new TreeMap<>();
    final Service mService;
    final SplittableRandom mRandom;
    CapacityPlanner mPlanner;
    DemandView mDemand = new DemandView();

    /** Time that a server needs for a request. */
    double mServiceSeconds = 0.5;

    /** Requests that a server takes at once, even if it says that it has more slots. */
    int mUsableSlots = SLOTS;

    double mNow;
    private final ServerDirectory mDirectory = new ServerDirectory(s -> {});
    private long mServerNumber;

    ScalingSimulation(int min, int max, long seed) {
        mRandom = new SplittableRandom(seed);
        mService =
                Service.newBuilder()
                        .setName("s")
                        .setEngineSlots(SLOTS)
                        .setScaling(
                                ServerScaling.newBuilder()
                                        .setMinServers(min)
                                        .setMaxServers(max)
                                        .setStartSeconds(START_SECONDS))
                        .build();
        mPlanner = new CapacityPlanner(0);
    }

    Domain add(String name, int servers, DoubleUnaryOperator rate) {
        Domain domain = new Domain(name, rate);
        mDomains.put(name, domain);
        domain.mDesired = servers;
        domain.start(servers);
        return domain;
    }

    /** Runs until a time; each domain counts from the last call of {@link Domain#reset}. */
    void runUntil(double end) {
        while (mNow < end - STEP / 2) {
            mNow += STEP;
            mDomains.values().forEach(Domain::step);
            if (Math.round(mNow / STEP) % Math.round(1 / STEP) == 0) {
                second();
            }
        }
    }

    private void second() {
        mDomains.values().forEach(Domain::second);
        List<CapacityOrder> orders = orders();
        mPlanner.observe(
                List.of(mService),
                mDemand.demand(nanos()),
                ServerCounts.of(mDirectory.entries(), 5 * SECOND / 2, nanos()),
                Set.of(),
                orders,
                nanos());
        for (CapacityOrder order : mPlanner.orders(List.of(mService), orders, nanos())) {
            mDomains.get(order.getFailureDomain()).onOrder(order);
        }
    }

    /** The holder and its process are lost; another member that observed nothing takes over. */
    void restartHolder() {
        mPlanner = new CapacityPlanner(nanos());
        mDemand = new DemandView();
    }

    private List<CapacityOrder> orders() {
        return mDomains.values().stream().flatMap(d -> d.mOrders.stream().limit(1)).toList();
    }

    private long nanos() {
        return Math.round(mNow * SECOND);
    }

    /** A failure domain with callers, gateways and servers. */
    final class Domain {
        final String mName;
        DoubleUnaryOperator mRate;

        /** Newest first. */
        final List<CapacityOrder> mOrders = new ArrayList<>();

        int mDesired;
        boolean mCut;
        long mAsked;
        long mRefused;
        double mServerSeconds;
        private final Set<String> mServers = new HashSet<>();
        private final List<Double> mReady = new ArrayList<>();
        private final List<Double> mWaiting = new ArrayList<>();
        private final List<Double> mRunningUntil = new ArrayList<>();
        private long mTotalAsked;
        private long mTotalBegun;
        private long mTotalRefused;

        private Domain(String name, DoubleUnaryOperator rate) {
            mName = name;
            mRate = rate;
        }

        int servers() {
            return mServers.size();
        }

        void reset() {
            mAsked = 0;
            mRefused = 0;
            mServerSeconds = 0;
        }

        double refusedPart() {
            return (double) mRefused / mAsked;
        }

        void crash(int servers) {
            List.copyOf(mServers).subList(0, servers).forEach(mServers::remove);
        }

        private void start(int servers) {
            for (int i = 0; i < servers; i++) {
                mServers.add(mName + "-" + mServerNumber++);
            }
        }

        private void step() {
            mReady.removeIf(
                    ready -> {
                        if (ready <= mNow) {
                            start(1);
                        }
                        return ready <= mNow;
                    });
            mRunningUntil.removeIf(end -> end <= mNow);
            int arrivals = poisson(mRate.applyAsDouble(mNow) * STEP);
            mTotalAsked += arrivals;
            mAsked += arrivals;
            for (int i = 0; i < arrivals; i++) {
                mWaiting.add(mNow);
            }
            while (!mWaiting.isEmpty() && mRunningUntil.size() < mServers.size() * mUsableSlots) {
                mWaiting.remove(0);
                mRunningUntil.add(mNow + mServiceSeconds);
                mTotalBegun++;
            }
            int waiting = mWaiting.size();
            mWaiting.removeIf(since -> mNow - since > MAX_WAIT_SECONDS);
            mTotalRefused += waiting - mWaiting.size();
            mRefused += waiting - mWaiting.size();
            mServerSeconds += (mServers.size() + mReady.size()) * STEP;
        }

        private int poisson(double mean) {
            int count = 0;
            double product = mRandom.nextDouble();
            while (product > Math.exp(-mean)) {
                count++;
                product *= mRandom.nextDouble();
            }
            return count;
        }

        private void second() {
            for (int i = mServers.size() + mReady.size(); i < mDesired; i++) {
                mReady.add(mNow + START_SECONDS);
            }
            for (String id : mServers) {
                mDirectory.merge(record(id, ServerStatus.SERVING), nanos());
            }
            if (mCut) {
                return;
            }
            for (int g = 0; g < GATEWAYS; g++) {
                mDemand.onReport(hello(g), report(g), nanos());
            }
        }

        private ServerRecord record(String id, ServerStatus status) {
            return ServerRecord.newBuilder()
                    .setServer(id)
                    .setAddress(id)
                    .setBornMillis(1)
                    .setSequence(nanos())
                    .setStatus(status)
                    .setService(mService.getName())
                    .setFailureDomain(mName)
                    .setSlots(SLOTS)
                    .build();
        }

        private Hello hello(int gateway) {
            return Hello.newBuilder()
                    .setVmId(mName + gateway)
                    .setIncarnation(1)
                    .setFailureDomain(mName)
                    .build();
        }

        /** The gateways share all requests evenly, but for the remainders. */
        private UsageReport report(int gateway) {
            return UsageReport.newBuilder()
                    .setSequence(nanos())
                    .addDemands(
                            ServiceDemand.newBuilder()
                                    .setService(mService.getName())
                                    .setAsked(part(mTotalAsked, gateway))
                                    .setBegun(part(mTotalBegun, gateway))
                                    .setRefused(part(mTotalRefused, gateway))
                                    .setWaiting((int) part(mWaiting.size(), gateway))
                                    .setRunning((int) part(mRunningUntil.size(), gateway)))
                    .build();
        }

        private long part(long total, int gateway) {
            return (total + gateway) / GATEWAYS;
        }

        private void onOrder(CapacityOrder order) {
            mOrders.add(0, order.toBuilder().setDelivered(true).build());
            mDesired = order.getServers();
            while (mServers.size() + mReady.size() > mDesired) {
                if (!mReady.isEmpty()) {
                    mReady.remove(mReady.size() - 1);
                    continue;
                }
                String last = mServers.iterator().next();
                mServers.remove(last);
                mDirectory.merge(record(last, ServerStatus.GONE), nanos());
            }
        }

        List<Integer> ordered() {
            return mOrders.stream().map(CapacityOrder::getServers).toList();
        }
    }
}
