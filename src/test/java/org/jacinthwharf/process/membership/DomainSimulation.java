package org.jacinthwharf.process.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;
import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.id.FailureDomainId;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.Envelope;

/** Simulates routers of one failure domain, a faulty network and clocks that differ by up to 1%. */
final class DomainSimulation {
    static final long MILLIS = 1_000_000L;

    final Random mRandom;
    final DomainVoters mVoters;
    final List<Node> mNodes = new ArrayList<>();
    double mLoss;
    boolean mLongDelays;
    long mNow;

    /** Bytes sent and received per process. */
    final Map<String, Long> mBytes = new HashMap<>();

    private final Map<Object, VmId> mOwners = new HashMap<>();
    LeaseVoter mWitness;
    int mWitnessPartition;
    private final PriorityQueue<Message> mNetwork =
            new PriorityQueue<>(Comparator.comparingLong(Message::at));

    record Message(long at, String from, String to, Envelope envelope) {}

    static final class Node {
        VmId mVm;
        double mRate;
        long mOffset;
        long mIncarnation;
        DomainView mView;
        long mSuspendedUntil;
        boolean mLeaving;
        int mPartition;
        final List<Envelope> mInbox = new ArrayList<>();
    }

    DomainSimulation(int routers, long seed) {
        mRandom = new Random(seed);
        mVoters =
                DomainVoters.of(
                        FailureDomainId.of("solola"),
                        IntStream.range(0, routers).mapToObj(i -> VmId.of("vm-" + i)).toList());
        for (VmId vm : mVoters.routers()) {
            Node node = new Node();
            node.mVm = vm;
            node.mRate = 1 + 0.01 * mRandom.nextInt(2);
            node.mOffset = mRandom.nextInt(1_000_000) * MILLIS;
            mNodes.add(node);
            start(node);
        }
        restartWitness();
    }

    long localTime(Node node) {
        return node.mOffset + (long) (mNow * node.mRate);
    }

    void start(Node node) {
        node.mInbox.clear();
        node.mLeaving = false;
        node.mIncarnation++;
        node.mView =
                new DomainView(
                        mVoters,
                        RouterIncarnation.of(node.mVm, node.mIncarnation),
                        mRandom,
                        localTime(node));
    }

    void restartWitness() {
        mWitness = new LeaseVoter(DomainVoters.WITNESS, mNow, LeaseDurations.LEASE_NANOS);
    }

    /** Applies one random fault. */
    void injectFault() {
        Node node = mNodes.get(mRandom.nextInt(mNodes.size()));
        switch (mRandom.nextInt(10)) {
            case 0 -> node.mView = null;
            case 1, 2 -> start(node);
            case 3, 4 -> node.mSuspendedUntil = mNow + mRandom.nextInt(4000) * MILLIS;
            case 5 -> {
                mNodes.forEach(each -> each.mPartition = mRandom.nextInt(2));
                mWitnessPartition = mRandom.nextInt(2);
            }
            case 6 -> heal();
            case 7 -> {
                mLoss = mRandom.nextInt(4) / 10.0;
                mLongDelays = mRandom.nextBoolean();
            }
            case 8 -> leave(node);
            default -> restartWitness();
        }
    }

    /** Starts a planned stop; the router keeps running until another fault stops it. */
    void leave(Node node) {
        if (node.mView != null && mNow >= node.mSuspendedUntil) {
            send(node.mVm.value(), node.mView.leave(localTime(node)));
            node.mLeaving = true;
        }
    }

    Node coordinator() {
        return mNodes.stream()
                .filter(node -> node.mView != null && node.mView.isCoordinator(localTime(node)))
                .findFirst()
                .orElseThrow();
    }

    void heal() {
        mNodes.forEach(each -> each.mPartition = 0);
        mWitnessPartition = 0;
        mLoss = 0;
        mLongDelays = false;
    }

    void restartAll() {
        heal();
        mNodes.stream().filter(node -> node.mView == null || node.mLeaving).forEach(this::start);
    }

    /** Advances real time by 5 ms. */
    void step() {
        mNow += 5 * MILLIS;
        while (!mNetwork.isEmpty() && mNetwork.peek().at() <= mNow) {
            deliver(mNetwork.poll());
        }
        for (Node node : mNodes) {
            if (node.mView != null && mNow >= node.mSuspendedUntil) {
                List<Envelope> waiting = List.copyOf(node.mInbox);
                node.mInbox.clear();
                waiting.forEach(envelope -> receive(node, envelope));
                send(node.mVm.value(), node.mView.onTick(localTime(node)));
            }
        }
    }

    private void deliver(Message message) {
        if (message.to().equals(DomainVoters.WITNESS)) {
            Envelope.Builder reply = Envelope.newBuilder();
            if (message.envelope().hasViewRenewal()) {
                reply.setViewAck(mWitness.onRenewal(message.envelope().getViewRenewal(), mNow));
            } else {
                reply.setLeaseVote(
                        mWitness.onVoteRequest(message.envelope().getLeaseVoteRequest(), mNow));
            }
            post(DomainVoters.WITNESS, message.from(), reply.build());
            return;
        }
        Node node = node(message.to());
        if (node.mView != null) {
            node.mInbox.add(message.envelope());
        }
    }

    private void receive(Node node, Envelope envelope) {
        long now = localTime(node);
        send(
                node.mVm.value(),
                switch (envelope.getPayloadCase()) {
                    case LEASE_VOTE_REQUEST ->
                            node.mView.onVoteRequest(envelope.getLeaseVoteRequest(), now);
                    case LEASE_VOTE -> node.mView.onVote(envelope.getLeaseVote(), now);
                    case VIEW_RENEWAL -> node.mView.onRenewal(envelope.getViewRenewal(), now);
                    case VIEW_ACK -> node.mView.onAck(envelope.getViewAck(), now);
                    default -> throw new IllegalStateException("unexpected " + envelope);
                });
    }

    void send(String from, List<ViewOutput> outputs) {
        for (ViewOutput output : outputs) {
            if (output instanceof ViewOutput.Send send) {
                post(from, send.to(), send.envelope());
            }
        }
    }

    private void post(String from, String to, Envelope envelope) {
        mBytes.merge(from, (long) envelope.getSerializedSize(), Long::sum);
        mBytes.merge(to, (long) envelope.getSerializedSize(), Long::sum);
        if (partition(from) != partition(to) || mRandom.nextDouble() < mLoss) {
            return;
        }
        boolean slow = mLongDelays && mRandom.nextInt(4) == 0;
        long delay = (slow ? mRandom.nextInt(3000) : 1 + mRandom.nextInt(3)) * MILLIS;
        mNetwork.add(new Message(mNow + delay, from, to, envelope));
    }

    private int partition(String id) {
        return id.equals(DomainVoters.WITNESS) ? mWitnessPartition : node(id).mPartition;
    }

    Node node(String vm) {
        return mNodes.stream()
                .filter(each -> each.mVm.value().equals(vm))
                .findFirst()
                .orElseThrow();
    }

    /** Returns the routers that may grant slots of {@code server} now; suspended ones count. */
    List<String> owners(BackendServerId server) {
        return mNodes.stream()
                .filter(node -> node.mView != null)
                .filter(node -> mayGrant(node, server))
                .map(node -> node.mVm + "/" + node.mIncarnation)
                .toList();
    }

    private boolean mayGrant(Node node, BackendServerId server) {
        long now = localTime(node);
        return node.mView
                .view()
                .filter(
                        view ->
                                view.isLeaseValid(now)
                                        && now >= view.previousLeasesExpiredAtNanos())
                .map(
                        view ->
                                mOwners.computeIfAbsent(
                                        List.of(server, view.members()),
                                        ignored ->
                                                ServerOwners.ownerOf(server, view.memberVms())
                                                        .orElse(null)))
                .filter(node.mVm::equals)
                .isPresent();
    }

    /** Returns whether every router holds a lease of a view with all routers as members. */
    boolean hasFullView() {
        return mNodes.stream()
                .allMatch(
                        node ->
                                node.mView != null
                                        && !node.mView.isStandalone(localTime(node))
                                        && node.mView.view().get().members().size()
                                                == mNodes.size());
    }
}
