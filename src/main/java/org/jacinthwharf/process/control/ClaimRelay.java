package org.jacinthwharf.process.control;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.jacinthwharf.connection.Link;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.consensus.ProposeOutcome;
import org.jacinthwharf.process.consensus.ReplicatedLog;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.wire.generated.ClaimOutcome;
import org.jacinthwharf.wire.generated.Command;
import org.jacinthwharf.wire.generated.CommandReply;
import org.jacinthwharf.wire.generated.Envelope;

/**
 * Replies to claims and claim ends that arrive on links; followers forward them to the leader.
 *
 * <p>Called on the event loop only. Invariants: CLAIM_GRANTED is sent only after the claim is
 * committed and applied; a message is forwarded at most once; every message gets at most one reply,
 * which is CLAIM_UNAVAILABLE or "not committed" if the leader does not reply within {@link
 * #FORWARD_TIMEOUT} plus one call of {@link #tick}.
 */
public final class ClaimRelay {
    /** Longer than an election, so that a claim sent during one can still get a reply. */
    static final Duration FORWARD_TIMEOUT = Duration.ofSeconds(2);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final ReplicatedLog mLog;
    private final EventLoop mLoop;
    private final Function<VmId, Optional<Link>> mMemberLinks;
    private final Map<String, ForwardedMessage> mForwarded = new LinkedHashMap<>();

    /**
     * Creates a relay.
     *
     * @param members returns the link to another control member, if one is up
     */
    public ClaimRelay(ReplicatedLog log, EventLoop loop, Function<VmId, Optional<Link>> members) {
        mLog = log;
        mLoop = loop;
        mMemberLinks = members;
    }

    private record ForwardedMessage(Link from, long sentNanos, Envelope refusal) {}

    /** Handles a claim or claim end that arrived on {@code from}. */
    public void onRequest(Link from, Envelope message) {
        Command.Builder command =
                Command.newBuilder()
                        .setNowMillis(mLoop.nowMillis())
                        .setLeaderTerm(mLog.status().term())
                        .setLeaderUptimeMillis(TimeUnit.NANOSECONDS.toMillis(mLoop.nowNanos()));
        if (message.hasClaimRequest()) {
            command.setCommandId(message.getClaimRequest().getClaimId());
            command.setClaim(message.getClaimRequest());
        } else {
            command.setCommandId(message.getClaimEnd().getClaimId());
            command.setClaimEnd(message.getClaimEnd());
        }
        mLog.propose(command.build().toByteString())
                .whenComplete(
                        (outcome, failure) -> {
                            if (outcome instanceof ProposeOutcome.Applied a) {
                                from.send(appliedReply(message, a));
                            } else if (outcome instanceof ProposeOutcome.NotLeader n) {
                                forward(from, message, n.leader());
                            } else if (outcome instanceof ProposeOutcome.Overloaded) {
                                refuse(from, message, "overloaded");
                            } else {
                                refuse(from, message, "outcome_unknown");
                            }
                        });
    }

    private void forward(Link from, Envelope message, Optional<VmId> leader) {
        // A message from another member was already forwarded once, in the belief that this member
        // leads; forwarding it again could create a loop during an election.
        boolean alreadyForwarded = from.peer().getRole().equals("control");
        Optional<Link> link = alreadyForwarded ? Optional.empty() : leader.flatMap(mMemberLinks);
        if (link.isPresent() && link.get().send(message)) {
            mForwarded.put(
                    key(message), new ForwardedMessage(from, mLoop.nowNanos(), refusal(message)));
        } else {
            refuse(from, message, "no_leader");
        }
    }

    /** Forwards the leader's reply to the link that the message came from. */
    public void onReply(Envelope reply) {
        ForwardedMessage forwarded = mForwarded.remove(key(reply));
        if (forwarded != null) {
            forwarded.from().send(reply);
        }
    }

    /**
     * Refuses forwarded messages that the leader did not reply to within the timeout; call about
     * once a second.
     */
    public void tick() {
        long now = mLoop.nowNanos();
        Iterator<ForwardedMessage> it = mForwarded.values().iterator();
        while (it.hasNext()) {
            ForwardedMessage f = it.next();
            if (now - f.sentNanos() >= FORWARD_TIMEOUT.toNanos()) {
                it.remove();
                f.from().send(f.refusal());
            }
        }
    }

    /** Discards the messages forwarded for a closed link. */
    public void onDown(Link link) {
        mForwarded.values().removeIf(f -> f.from() == link);
    }

    private static void refuse(Link from, Envelope message, String reason) {
        LOGGER.atInfo().log("event=claim_refused reason=%s claim=%s", reason, key(message));
        from.send(refusal(message));
    }

    // A router that gets this reply sends no request under the claim, even if it was committed.
    private static Envelope refusal(Envelope message) {
        Envelope.Builder envelope = Envelope.newBuilder();
        if (message.hasClaimRequest()) {
            envelope.getClaimReplyBuilder()
                    .setClaimId(message.getClaimRequest().getClaimId())
                    .setOutcome(ClaimOutcome.CLAIM_UNAVAILABLE);
        } else {
            envelope.getClaimEndReplyBuilder().setClaimId(message.getClaimEnd().getClaimId());
        }
        return envelope.build();
    }

    private static Envelope appliedReply(Envelope message, ProposeOutcome.Applied applied) {
        try {
            CommandReply reply = CommandReply.parseFrom(applied.reply());
            Envelope.Builder envelope = Envelope.newBuilder();
            return message.hasClaimRequest()
                    ? envelope.setClaimReply(reply.getClaim()).build()
                    : envelope.setClaimEndReply(reply.getClaimEnd()).build();
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("the state machine's reply is malformed", e);
        }
    }

    private static String key(Envelope message) {
        return switch (message.getPayloadCase()) {
            case CLAIM_REQUEST -> "claim/" + message.getClaimRequest().getClaimId();
            case CLAIM_REPLY -> "claim/" + message.getClaimReply().getClaimId();
            case CLAIM_END -> "end/" + message.getClaimEnd().getClaimId();
            case CLAIM_END_REPLY -> "end/" + message.getClaimEndReply().getClaimId();
            default ->
                    throw new IllegalArgumentException(
                            "not a claim message: " + message.getPayloadCase());
        };
    }
}
