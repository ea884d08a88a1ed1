package org.jacinthwharf.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Lists;
import java.time.Instant;
import java.util.Locale;
import org.jacinthwharf.process.settings.Endpoint;

/** Renders status responses as text for operators. Stateless and thread-safe. */
final class StatusText {
    private StatusText() {}

    static String status(JsonNode status) {
        StringBuilder text = new StringBuilder();
        JsonNode control = status.path("control");
        appendLine(
                text,
                "revision %s (%s), answered by %s",
                status.path("revision").asText(),
                status.path("confirmed").asBoolean()
                        ? "confirmed by the leader"
                        : "NOT confirmed by a leader",
                control.path("self").asText());
        appendLine(text, "%ncontrol members, term %s", control.path("term").asText());
        for (JsonNode m : control.path("members")) {
            appendLine(text, "  %-20s %s", m.path("vmId").asText(), m.path("role").asText());
        }
        appendLine(text, "%nfailure domains");
        status.path("failureDomains").forEach(f -> appendLine(text, "  %s", failureDomain(f)));
        appendLine(text, "%ncustomers");
        for (JsonNode c : status.path("customers")) {
            appendLine(
                    text,
                    "  %-20s weight %s %s",
                    c.path("id").asText(),
                    c.path("weight").asText(),
                    c.path("homeRegion").asText());
        }
        appendLine(text, "%nmodels");
        for (JsonNode m : status.path("models")) {
            appendLine(
                    text, "  %-20s %s", m.path("id").asText(), m.path("currentVersion").asText());
        }
        appendLine(text, "%nversion moves");
        text.append(moves(status.path("moves")));
        appendLine(text, "%nrouters");
        for (JsonNode r : status.path("routers")) {
            appendLine(
                    text,
                    "  %-20s revision %s",
                    r.path("vmId").asText(),
                    r.path("revision").asText());
        }
        return text.toString();
    }

    /** Renders the status that a router serves on its admin port. */
    static String router(Endpoint admin, JsonNode status) {
        StringBuilder text = new StringBuilder();
        appendLine(
                text,
                "%nrouter %s at %s, revision %s, %s open requests, %s waiting%s",
                status.path("vmId").asText(),
                admin,
                status.path("revision").asText(),
                status.path("openRequests").asText(),
                status.path("waiting").asText(),
                status.path("validView").asBoolean() ? "" : ", NO valid view");
        for (JsonNode s : status.path("backendServers")) {
            appendLine(
                    text,
                    "  server %-20s owner %s, %s %s, %s%s, limit %s, running %s",
                    s.path("id").asText(),
                    s.path("owner").asText(),
                    s.path("model").asText(),
                    s.path("version").asText(),
                    s.path("state").asText(),
                    s.path("suspect").asBoolean() ? ", suspect" : "",
                    s.path("limit").asText(),
                    s.path("announcedRunning").asText());
        }
        for (JsonNode c : status.path("customers")) {
            appendLine(
                    text,
                    "  customer %-20s weight %s, service per weight %.1f",
                    c.path("id").asText(),
                    c.path("weight").asText(),
                    c.path("counter").asDouble());
        }
        return text.toString().stripTrailing();
    }

    private static String failureDomain(JsonNode f) {
        ImmutableList<JsonNode> unconfirmed = ImmutableList.copyOf(f.path("unconfirmed"));
        String suffix =
                unconfirmed.isEmpty()
                        ? ""
                        : ", not confirmed by "
                                + Joiner.on(' ')
                                        .join(Lists.transform(unconfirmed, JsonNode::asText));
        return "%-20s %-10s %s%s"
                .formatted(
                        f.path("id").asText(),
                        f.path("out").asBoolean() ? "out" : "in service",
                        f.path("state").asText(),
                        suffix);
    }

    static String moves(JsonNode moves) {
        StringBuilder text = new StringBuilder();
        moves.forEach(m -> appendLine(text, "  %s", move(m)));
        return text.isEmpty() ? "  none\n" : text.toString();
    }

    static String move(JsonNode m) {
        String reason = m.path("reason").asText();
        return "%s: %s from %s to %s, %s, share %.2f%%, deadline %s%s"
                .formatted(
                        m.path("id").asText(),
                        m.path("model").asText(),
                        m.path("fromVersion").asText(),
                        m.path("toVersion").asText(),
                        m.path("phase").asText(),
                        m.path("shareBasisPoints").asInt() / 100.0,
                        Instant.ofEpochMilli(m.path("deadlineMillis").asLong()),
                        reason.isEmpty() ? "" : ", reason: " + reason);
    }

    private static void appendLine(StringBuilder text, String format, Object... arguments) {
        text.append(String.format(Locale.ROOT, format, arguments).stripTrailing()).append('\n');
    }
}
