package org.jacinthwharf.request.dispatch;

/**
 * A part of a prompt that several requests may share.
 *
 * <p>Immutable.
 *
 * @param id identifies the content of the part
 * @param tokens its length
 */
public record PromptPart(String id, int tokens) {}
