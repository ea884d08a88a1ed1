package org.jacinthwharf.request.dispatch;

/**
 * A segment of a prompt that several requests may share.
 *
 * <p>Immutable.
 *
 * @param id identifies the content of the segment
 * @param tokens its length
 */
public record PromptSegment(String id, int tokens) {}
