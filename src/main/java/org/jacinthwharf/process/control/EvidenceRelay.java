package org.jacinthwharf.process.control;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;
import org.jacinthwharf.connection.Link;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.request.crash.CrashEvidence;
import org.jacinthwharf.wire.generated.Envelope;
import org.jacinthwharf.wire.generated.PromptEvidence;

/**
 * Merges the gateways' evidence of requests that crash servers, and tells gateways and members.
 *
 * <p>Used on the event loop only. Invariants: a process that connects is sent all evidence before
 * anything else that lets it send requests; only what changed is forwarded, so no message
 * circulates; a link that was full is sent all evidence once it takes messages again.
 */
final class EvidenceRelay {
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(100);

    private final CrashEvidence mEvidence = new CrashEvidence();
    private final Predicate<Link> mIsRelayFor;
    private final EventLoop mLoop;

    /** Links that did not take a message. */
    private final Set<Link> mMissed = new HashSet<>();

    /**
     * Creates a relay without evidence.
     *
     * @param isRelayFor whether the gateway at the other end of a link sends its evidence here
     */
    EvidenceRelay(Predicate<Link> isRelayFor, EventLoop loop) {
        mIsRelayFor = isRelayFor;
        mLoop = loop;
    }

    void start() {
        mLoop.scheduleRepeatedly(RETRY_INTERVAL, this::sendMissed);
    }

    /** Sends all evidence to the links that did not take a message. */
    void sendMissed() {
        if (!mMissed.isEmpty()) {
            ImmutableList<Link> missed = ImmutableList.copyOf(mMissed);
            mMissed.clear();
            send(missed, mEvidence.toMessage(mLoop.nowNanos()));
        }
    }

    void onDown(Link link) {
        mMissed.remove(link);
    }

    void onUp(Link link) {
        send(ImmutableList.of(link), mEvidence.toMessage(mLoop.nowNanos()));
    }

    /** Merges the evidence of a gateway and forwards what is new to all others. */
    void onGatewayEvidence(Link from, PromptEvidence evidence, Collection<Link> links) {
        ImmutableList<Link> others =
                links.stream().filter(l -> l != from).collect(ImmutableList.toImmutableList());
        send(others, merge(evidence));
    }

    /** Merges the evidence of a member, which told its gateways, and tells those of this member. */
    void onMemberEvidence(PromptEvidence evidence, Collection<Link> gateways) {
        ImmutableList<Link> own =
                gateways.stream().filter(mIsRelayFor).collect(ImmutableList.toImmutableList());
        send(own, merge(evidence));
    }

    private PromptEvidence merge(PromptEvidence evidence) {
        long now = mLoop.nowNanos();
        mEvidence.expire(now);
        return mEvidence.messageOf(mEvidence.merge(evidence, now), now);
    }

    private void send(Collection<Link> links, PromptEvidence evidence) {
        if (evidence.getSegmentsCount() > 0) {
            Envelope message = Envelope.newBuilder().setPromptEvidence(evidence).build();
            links.stream().filter(l -> !l.send(message)).forEach(mMissed::add);
        }
    }
}
