package org.jacinthwharf.process.router;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.Doubles;
import com.google.common.primitives.Longs;
import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.id.ModelId;
import org.jacinthwharf.id.RequestId;
import org.jacinthwharf.id.RequestKey;
import org.jacinthwharf.process.metrics.RefusalReason;
import org.jacinthwharf.process.router.ParseResult.Parsed;
import org.jacinthwharf.process.router.ParseResult.Refused;
import org.jacinthwharf.process.settings.Limits;
import org.jacinthwharf.request.outcome.StreamEventId;

/**
 * Parses method, path, headers and body of a request into a {@link CallerRequest} or a refusal.
 *
 * <p>Immutable; thread-safe if the id supplier is.
 */
final class RequestParser {
    private static final String GENERATE_PATH = "/v1/generate";
    private static final String SERVICE_PREFIX = "/v1/service/";
    private static final String EVENT_STREAM = "text/event-stream";
    private static final double MAX_COST_HINT = 1e9;
    // RFC 9110, section 9.2.2.
    private static final ImmutableSet<String> IDEMPOTENT_METHODS =
            ImmutableSet.of("GET", "HEAD", "PUT", "DELETE", "OPTIONS");
    private static final ImmutableSet<String> METHODS =
            ImmutableSet.of("GET", "HEAD", "PUT", "DELETE", "POST", "PATCH");

    private final Limits mLimits;
    private final Supplier<RequestId> mIdSupplier;

    /** Creates a parser that assigns ids from {@code idSupplier} to new requests. */
    RequestParser(Limits limits, Supplier<RequestId> idSupplier) {
        mLimits = limits;
        mIdSupplier = idSupplier;
    }

    /**
     * Parses one request.
     *
     * @param path path and query
     * @param header returns the value of a header, or null if it is missing
     */
    ParseResult parse(String method, String path, UnaryOperator<String> header, ByteString body) {
        String plainPath = withoutQuery(path);
        boolean generate = plainPath.equals(GENERATE_PATH);
        if (!generate && !plainPath.startsWith(SERVICE_PREFIX)) {
            return new Refused(RefusalReason.UNKNOWN_PATH, "no such path: " + plainPath);
        }
        if (generate ? !method.equals("POST") : !METHODS.contains(method)) {
            return new Refused(RefusalReason.METHOD_NOT_ALLOWED, "method: " + method);
        }
        String customerText = header.apply(RequestHeaders.CUSTOMER);
        if (customerText == null) {
            return new Refused(RefusalReason.MISSING_CUSTOMER, "header X-Customer is required");
        }
        Optional<CustomerId> customer = CustomerId.parse(customerText);
        if (customer.isEmpty()) {
            return malformed(RequestHeaders.CUSTOMER, customerText);
        }
        String modelText = generate ? header.apply(RequestHeaders.MODEL) : serviceName(plainPath);
        Optional<ModelId> model = ModelId.parse(modelText == null ? "" : modelText);
        if (model.isEmpty()) {
            return malformed(generate ? RequestHeaders.MODEL : "service name", modelText);
        }
        return parseOptions(method, path, header, body, generate, customer.get(), model.get());
    }

    private ParseResult parseOptions(
            String method,
            String path,
            UnaryOperator<String> header,
            ByteString body,
            boolean generate,
            CustomerId customer,
            ModelId model) {
        String idText = header.apply(RequestHeaders.REQUEST_ID);
        String lastEventText = header.apply(RequestHeaders.LAST_EVENT_ID);
        Optional<StreamEventId> lastEvent =
                lastEventText == null ? Optional.empty() : StreamEventId.parse(lastEventText);
        if (lastEventText != null && lastEvent.isEmpty()) {
            return malformed(RequestHeaders.LAST_EVENT_ID, lastEventText);
        }
        if (idText != null && RequestId.parse(idText).isEmpty()) {
            return malformed(RequestHeaders.REQUEST_ID, idText);
        }
        // Callers may reuse an id, also that of a stream, so answers are matched by an id that the
        // router assigns.
        RequestId id = mIdSupplier.get();
        String keyText = header.apply(RequestHeaders.REQUEST_KEY);
        Optional<RequestKey> key = keyText == null ? Optional.empty() : RequestKey.parse(keyText);
        if (keyText != null && key.isEmpty()) {
            return malformed(RequestHeaders.REQUEST_KEY, keyText);
        }
        String idempotentText = header.apply(RequestHeaders.IDEMPOTENT);
        Optional<Boolean> idempotent = parseIdempotent(idempotentText, generate, method);
        if (idempotent.isEmpty()) {
            return malformed(RequestHeaders.IDEMPOTENT, idempotentText);
        }
        String hintText = header.apply(RequestHeaders.COST_HINT);
        Double hint = hintText == null ? null : Doubles.tryParse(hintText);
        if (hintText != null && (hint == null || !(hint >= 0 && hint <= MAX_COST_HINT))) {
            return malformed(RequestHeaders.COST_HINT, hintText);
        }
        String deadlineText = header.apply(RequestHeaders.DEADLINE_MS);
        Long deadline =
                deadlineText == null
                        ? Long.valueOf(mLimits.defaultDeadlineMs())
                        : Longs.tryParse(deadlineText);
        if (deadline == null || deadline <= 0 || deadline > mLimits.maxDeadlineMs()) {
            return malformed(RequestHeaders.DEADLINE_MS, deadlineText);
        }
        boolean stream = generate && EVENT_STREAM.equals(header.apply("Accept"));
        String contentType = header.apply("Content-Type");
        return new Parsed(
                new CallerRequest(
                        id,
                        idText == null
                                ? lastEvent.map(StreamEventId::request).orElse(id).value()
                                : idText,
                        customer,
                        model,
                        generate ? (stream ? "stream" : "whole") : serviceRoute(path),
                        method,
                        path,
                        contentType == null ? "" : contentType,
                        body,
                        idempotent.get(),
                        key,
                        stream,
                        hint == null ? OptionalDouble.empty() : OptionalDouble.of(hint),
                        deadline,
                        lastEvent));
    }

    private static Optional<Boolean> parseIdempotent(String text, boolean generate, String method) {
        if (text == null) {
            return Optional.of(generate || IDEMPOTENT_METHODS.contains(method));
        }
        return switch (Ascii.toLowerCase(text)) {
            case "true" -> Optional.of(true);
            case "false" -> Optional.of(false);
            default -> Optional.empty();
        };
    }

    private static String withoutQuery(String path) {
        int end = path.indexOf('?');
        return end < 0 ? path : path.substring(0, end);
    }

    private static String serviceName(String path) {
        int end = path.indexOf('/', SERVICE_PREFIX.length());
        return path.substring(SERVICE_PREFIX.length(), end < 0 ? path.length() : end);
    }

    /** Returns the first path segment after the service name; it identifies the kind of call. */
    private static String serviceRoute(String path) {
        String plainPath = withoutQuery(path);
        int start = SERVICE_PREFIX.length() + serviceName(plainPath).length() + 1;
        if (start >= plainPath.length()) {
            return "root";
        }
        int end = plainPath.indexOf('/', start);
        String segment = plainPath.substring(start, end < 0 ? plainPath.length() : end);
        return segment.isEmpty() ? "root" : segment;
    }

    private static Refused malformed(String name, String value) {
        return new Refused(
                RefusalReason.MALFORMED_REQUEST,
                value == null ? name + " is missing" : "malformed " + name + ": '" + value + "'");
    }
}
