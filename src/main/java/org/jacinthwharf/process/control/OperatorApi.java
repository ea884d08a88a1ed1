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
 * Handles the requests of operators.
 *
 * <p>Called on the event loop only. Invariant: requests other than GET require a valid bearer
 * token, which is checked before the request is parsed or proposed to the log.
 */
final class OperatorApi {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String MOVES_PATH = "/v1/moves";

    private final OperatorToken mToken;
    private final ReplicatedLog mLog;
    private final ControlStateMachine mState;
    private final Supplier<ObjectNode> mStatus;
    private final Function<VmId, Optional<String>> mHttpOrigin;
    private final LongSupplier mNowMillis;

    /**
     * Creates a handler.
     *
     * @param status returns the full status
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

    CompletableFuture<OperatorResponse> handle(OperatorRequest request) {
        if (request.method().equals("GET")) {
            return CompletableFuture.completedFuture(read(request.path()));
        }
        if (!mToken.matches(request.authorization())) {
            LOGGER.atInfo().log(
                    "event=operator_refused reason=unauthorized method=%s", request.method());
            return error(401, "unauthorized", "a valid bearer token is needed");
        }
        OperatorCommandParser.Result parsed = OperatorCommandParser.parse(request);
        if (parsed instanceof OperatorCommandParser.Result.Ok ok) {
            return propose(request, ok.command());
        }
        return parsed instanceof OperatorCommandParser.Result.Malformed m
                ? error(400, "malformed_request", m.detail())
                : error(404, "unknown_path", "no operation has this method and path");
    }

    private OperatorResponse read(String path) {
        if (path.equals("/v1/status")) {
            return OperatorResponse.of(200, mStatus.get());
        }
        if (path.equals("/v1/configuration")) {
            return OperatorResponse.of(200, StatusReport.configuration(mState.configuration()));
        }
        if (path.equals(MOVES_PATH)) {
            ObjectNode body = JsonNodeFactory.instance.objectNode();
            body.set("moves", StatusReport.moves(mState.configuration()));
            return OperatorResponse.of(200, body);
        }
        return path.startsWith(MOVES_PATH + "/")
                ? readMove(path.substring(MOVES_PATH.length() + 1))
                : OperatorResponse.error(404, "unknown_path", "no operation has this path");
    }

    private OperatorResponse readMove(String id) {
        for (JsonNode move : StatusReport.moves(mState.configuration())) {
            if (move.get("id").asText().equals(id)) {
                return OperatorResponse.of(200, (ObjectNode) move);
            }
        }
        return OperatorResponse.error(404, "unknown_move", "no model's last move has this id");
    }

    private CompletableFuture<OperatorResponse> propose(OperatorRequest request, Command parsed) {
        Command command = parsed.toBuilder().setNowMillis(mNowMillis.getAsLong()).build();
        return mLog.propose(command.toByteString())
                .thenApply(outcome -> toResponse(request, command, outcome));
    }

    private OperatorResponse toResponse(
            OperatorRequest request, Command command, ProposeOutcome outcome) {
        if (outcome instanceof ProposeOutcome.Applied a) {
            return toResponse(command, a);
        }
        if (outcome instanceof ProposeOutcome.NotLeader n) {
            return n.leader()
                    .flatMap(mHttpOrigin)
                    .map(origin -> OperatorResponse.redirect(origin + request.path()))
                    .orElseGet(
                            () ->
                                    OperatorResponse.error(
                                            503, "no_leader", "not run; no leader is known"));
        }
        if (outcome instanceof ProposeOutcome.Overloaded) {
            return OperatorResponse.error(
                    503, "overloaded", "not run; too many changes wait for their commit");
        }
        return OperatorResponse.error(
                503, "outcome_unknown", "send the command again with the same command id");
    }

    private static OperatorResponse toResponse(Command command, ProposeOutcome.Applied applied) {
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
            return OperatorResponse.of(200, body.put("result", "applied"));
        }
        boolean conflict = reply.getResult() == CommandResult.CONFLICT;
        body.put("reason", conflict ? "conflict" : "invalid").put("detail", reply.getDetail());
        return OperatorResponse.of(conflict ? 409 : 400, body);
    }

    private static CompletableFuture<OperatorResponse> error(
            int status, String reason, String detail) {
        return CompletableFuture.completedFuture(OperatorResponse.error(status, reason, detail));
    }
}
