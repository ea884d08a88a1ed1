package org.jacinthwharf.process.control;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.LinkedHashMap;
import java.util.Optional;
import java.util.Set;
import org.jacinthwharf.process.consensus.StateMachine;
import org.jacinthwharf.process.duty.DutyState;
import org.jacinthwharf.wire.generated.Command;
import org.jacinthwharf.wire.generated.CommandReply;
import org.jacinthwharf.wire.generated.CommandResult;
import org.jacinthwharf.wire.generated.Configuration;
import org.jacinthwharf.wire.generated.ConfigurationDelta;
import org.jacinthwharf.wire.generated.ControlSnapshot;
import org.jacinthwharf.wire.generated.RoutingTable;

/**
 * The state that the control group replicates: configuration, version moves, claims, duties and
 * replies.
 *
 * <p>Called on the event loop only. Invariants: the revision grows by one with each applied
 * configuration change and with nothing else; a command whose id is among the last {@link
 * #MAX_RETAINED_REPLIES} is not applied again and gets the original reply, except for claims, move
 * steps and duties; equal sequences of commands give equal snapshots.
 *
 * <p>Replies to claims, claim ends, move steps and duties are not retained by command id, since
 * retaining them would evict the replies to operators' commands. These commands are idempotent
 * without it: claims have a claim id, move steps state a target, and of duties only a grant has an
 * effect when it is repeated: one more token.
 */
public final class ControlStateMachine implements StateMachine {
    static final int MAX_RETAINED_REPLIES = 10_000;

    /** Bounds a retained reply, whose detail may quote a value of any length. */
    private static final int MAX_DETAIL_LENGTH = 256;

    private final Claims mClaims;
    private final ClaimClock mClock = new ClaimClock();
    private final ConfigurationState mState = new ConfigurationState();
    private final DutyState mDuties = new DutyState();
    private final ChangeRules mRules = new ChangeRules(mState);
    private final LinkedHashMap<String, CommandReply> mReplies = new LinkedHashMap<>();
    private Optional<ConfigurationListener> mListener = Optional.empty();

    /** Creates an empty state at revision 0 with the given claims. */
    public ControlStateMachine(Claims claims) {
        mClaims = claims;
    }

    void setListener(ConfigurationListener listener) {
        mListener = Optional.of(listener);
    }

    /** Returns the committed configuration; copies all entries. */
    public Configuration configuration() {
        return mState.toMessage();
    }

    /** Returns the committed routing table. */
    Optional<RoutingTable> routing() {
        return mState.routing();
    }

    /** Returns the failure domains that are out of service. */
    Set<String> closedDomains() {
        return mState.closedDomains();
    }

    /** Returns the revision of the committed configuration. */
    public long revision() {
        return mState.revision();
    }

    /** Returns the duties; only committed commands change them. */
    public DutyState duties() {
        return mDuties;
    }

    @Override
    public ByteString apply(long index, ByteString command) {
        try {
            return apply(Command.parseFrom(command)).toByteString();
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(
                    "committed entry " + index + " is not a valid command", e);
        }
    }

    private CommandReply apply(Command command) {
        return switch (command.getChangeCase()) {
            case CLAIM ->
                    reply(command, CommandResult.APPLIED, "")
                            .setClaim(mClaims.claim(command.getClaim(), mClock.advance(command)))
                            .build();
            case CLAIM_END ->
                    reply(command, CommandResult.APPLIED, "")
                            .setClaimEnd(
                                    mClaims.end(command.getClaimEnd(), mClock.advance(command)))
                            .build();
            case MOVE_STEP -> applyChange(command);
            case GRANT_DUTY, FIX_USAGE, USAGE_DELIVERED, RECORD_ORDER, ORDER_DELIVERED -> {
                mDuties.apply(command);
                yield reply(command, CommandResult.APPLIED, "").build();
            }
            default -> applyOnce(command);
        };
    }

    private CommandReply applyOnce(Command command) {
        if (command.getCommandId().isEmpty()) {
            return reply(command, CommandResult.INVALID, "the command has no id").build();
        }
        ByteString hash = hash(command);
        CommandReply first = mReplies.get(command.getCommandId());
        if (first != null) {
            return first.getCommandHash().isEmpty() || first.getCommandHash().equals(hash)
                    ? first
                    : reply(command, CommandResult.INVALID, "another command had this id").build();
        }
        CommandReply reply = applyChange(command).toBuilder().setCommandHash(hash).build();
        mReplies.put(command.getCommandId(), reply);
        if (mReplies.size() > MAX_RETAINED_REPLIES) {
            mReplies.remove(mReplies.keySet().iterator().next());
        }
        return reply;
    }

    /**
     * Returns a hash of what the sender of a command chose, which is the same if it is sent again.
     * The revision is left out, since a sender may read it anew; the phase of a move, since the
     * leader sets it.
     */
    private static ByteString hash(Command command) {
        Command.Builder sent = command.toBuilder().clearNowMillis().clearBasedOnRevision();
        if (sent.hasStartMove()) {
            sent.getStartMoveBuilder().clearPhase();
        }
        return ByteString.copyFrom(
                Hashing.murmur3_128().hashBytes(sent.build().toByteArray()).asBytes());
    }

    private CommandReply applyChange(Command command) {
        long base = command.getBasedOnRevision();
        if (base != 0 && base != mState.revision()) {
            String detail = "based on revision " + base + ", current is " + mState.revision();
            return reply(command, CommandResult.CONFLICT, detail).build();
        }
        ChangeRules.Decision decision = mRules.decide(command);
        if (decision instanceof ChangeRules.Decision.Refused r) {
            return reply(command, CommandResult.INVALID, r.detail()).build();
        }
        if (decision instanceof ChangeRules.Decision.Change c) {
            applyDelta(c.delta());
        }
        return reply(command, CommandResult.APPLIED, "").build();
    }

    private void applyDelta(ConfigurationDelta delta) {
        mState.apply(delta, delta.getBaseRevision() + 1);
        mListener.ifPresent(l -> l.onChange(delta));
    }

    private CommandReply.Builder reply(Command command, CommandResult result, String detail) {
        return CommandReply.newBuilder()
                .setCommandId(command.getCommandId())
                .setResult(result)
                .setRevision(mState.revision())
                .setDetail(detail.substring(0, Math.min(MAX_DETAIL_LENGTH, detail.length())));
    }

    @Override
    public ByteString snapshot() {
        ControlSnapshot.Builder snapshot =
                ControlSnapshot.newBuilder()
                        .setConfiguration(mState.toMessage())
                        .addAllClaims(mClaims.records())
                        .addAllReplies(mReplies.values());
        mClock.addTo(snapshot);
        mDuties.toMessage().ifPresent(snapshot::setDuties);
        return snapshot.build().toByteString();
    }

    @Override
    public void restore(ByteString snapshot) {
        ControlSnapshot parsed;
        try {
            parsed = ControlSnapshot.parseFrom(snapshot);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("malformed snapshot", e);
        }
        mState.replace(parsed.getConfiguration());
        mClaims.restore(parsed.getClaimsList());
        mClock.restore(parsed);
        mDuties.replace(parsed.getDuties());
        mReplies.clear();
        parsed.getRepliesList().forEach(r -> mReplies.put(r.getCommandId(), r));
        mListener.ifPresent(ConfigurationListener::onRestore);
    }
}
