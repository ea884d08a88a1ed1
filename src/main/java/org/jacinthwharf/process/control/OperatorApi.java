package org.jacinthwharf.process.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.process.consensus.ProposeOutcome;
import org.jacinthwharf.process.consensus.ReplicatedLog;
import org.jacinthwharf.wire.generated.Command;
import org.jacinthwharf.wire.generated.CommandReply;
import org.jacinthwharf.wire.generated.CommandResult;

/**
 * Answers the requests of operators.
 *
 * <p>Called on the event loop only. Invariant: a request without the right token reaches neither
 * the log nor the check of its content, unless it is a GET.
 */
final class OperatorApi {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String MOVES = "/v1/moves";

    private final OperatorToken mToken;
    private final ReplicatedLog mLog;
    private final ControlStateMachine mState;
    private final Supplier<ObjectNode> mStatus;
    private final Function<VmId, Optional<String>> mHttpOrigin;
    private final LongSupplier mNowMillis;

    /**
     * Creates the interface.
     *
     * @param status returns the whole status
     * @param httpOrigin returns scheme, address and port of a member's operator interface
     * @param nowMillis returns the wall-clock time
     */
    OperatorApi(
            OperatorToken token,
            ReplicatedLog log,
            ControlStateMachine state,
            Supplier<ObjectNode> status,
            Function<VmId, Optional<String>> httpOrigin,
            LongSupplier nowMillis) {
        mToken = token;
        mLog = log;
        mState = state;
        mStatus = status;
        mHttpOrigin = httpOrigin;
        mNowMillis = nowMillis;
    }

    CompletableFuture<OperatorAnswer> handle(OperatorCall call) {
        if (call.method().equals("GET")) {
            return CompletableFuture.completedFuture(read(call.path()));
        }
        if (!mToken.matches(call.authorization())) {
            LOGGER.atInfo().log(
                    "event=operator_refused reason=unauthorized method=%s", call.method());
            return refused(401, "unauthorized", "a valid bearer token is needed");
        }
        OperatorCommands.Parsed parsed = OperatorCommands.parse(call);
        if (parsed instanceof OperatorCommands.Parsed.Ok ok) {
            return propose(call, ok.command());
        }
        return parsed instanceof OperatorCommands.Parsed.Malformed m
                ? refused(400, "malformed_request", m.detail())
                : refused(404, "unknown_path", "no operation has this method and path");
    }

    private OperatorAnswer read(String path) {
        if (path.equals("/v1/status")) {
            return OperatorAnswer.of(200, mStatus.get());
        }
        if (path.equals("/v1/configuration")) {
            return OperatorAnswer.of(200, StatusReport.configuration(mState.configuration()));
        }
        if (path.equals(MOVES)) {
            ObjectNode body = JsonNodeFactory.instance.objectNode();
            body.set("moves", StatusReport.moves(mState.configuration()));
            return OperatorAnswer.of(200, body);
        }
        return path.startsWith(MOVES + "/")
                ? readMove(path.substring(MOVES.length() + 1))
                : OperatorAnswer.refusal(404, "unknown_path", "no operation has this path");
    }

    private OperatorAnswer readMove(String id) {
        for (JsonNode move : StatusReport.moves(mState.configuration())) {
            if (move.get("id").asText().equals(id)) {
                return OperatorAnswer.of(200, (ObjectNode) move);
            }
        }
        return OperatorAnswer.refusal(404, "unknown_move", "no model's last move has this id");
    }

    private CompletableFuture<OperatorAnswer> propose(OperatorCall call, Command parsed) {
        Command command = parsed.toBuilder().setNowMillis(mNowMillis.getAsLong()).build();
        return mLog.propose(command.toByteString())
                .thenApply(outcome -> answer(call, command, outcome));
    }

    private OperatorAnswer answer(OperatorCall call, Command command, ProposeOutcome outcome) {
        if (outcome instanceof ProposeOutcome.Applied a) {
            return answer(command, a);
        }
        if (outcome instanceof ProposeOutcome.NotLeader n) {
            return n.leader()
                    .flatMap(mHttpOrigin)
                    .map(origin -> OperatorAnswer.redirect(origin + call.path()))
                    .orElseGet(
                            () ->
                                    OperatorAnswer.refusal(
                                            503, "no_leader", "not run; no leader is known"));
        }
        if (outcome instanceof ProposeOutcome.Overloaded) {
            return OperatorAnswer.refusal(
                    503, "overloaded", "not run; too many changes wait for their commit");
        }
        return OperatorAnswer.refusal(
                503, "outcome_unknown", "send the command again with the same command id");
    }

    private static OperatorAnswer answer(Command command, ProposeOutcome.Applied applied) {
        CommandReply reply;
        try {
            reply = CommandReply.parseFrom(applied.reply());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("the state machine's reply is malformed", e);
        }
        LOGGER.atInfo().log(
                "event=command_applied command=%s change=%s result=%s revision=%d",
                reply.getCommandId(),
                command.getChangeCase(),
                reply.getResult(),
                reply.getRevision());
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("commandId", reply.getCommandId()).put("revision", reply.getRevision());
        if (reply.getResult() == CommandResult.APPLIED) {
            return OperatorAnswer.of(200, body.put("result", "applied"));
        }
        boolean conflict = reply.getResult() == CommandResult.CONFLICT;
        body.put("reason", conflict ? "conflict" : "invalid").put("detail", reply.getDetail());
        return OperatorAnswer.of(conflict ? 409 : 400, body);
    }

    private static CompletableFuture<OperatorAnswer> refused(
            int status, String reason, String detail) {
        return CompletableFuture.completedFuture(OperatorAnswer.refusal(status, reason, detail));
    }
}
