package org.jacinthwharf.request.dispatch;

/**
 * A piece of a prompt that several requests may have in common.
 *
 * <p>Immutable.
 *
 * @param id identifies the content of the segment
 * @param tokens length of the segment
 */
public record PromptSegment(String id, int tokens) {}
