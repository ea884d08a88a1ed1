package org.jacinthwharf.process.control;

/**
 * An HTTP request of an operator.
 *
 * <p>Immutable. Absent headers and an absent body are empty strings.
 *
 * @param authorization value of the {@code Authorization} header
 * @param commandId value of the {@code X-Command-Id} header
 * @param ifMatch value of the {@code If-Match} header
 */
record OperatorRequest(
        String method,
        String path,
        String authorization,
        String commandId,
        String ifMatch,
        String body) {}
