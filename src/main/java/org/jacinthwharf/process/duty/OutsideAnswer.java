package org.jacinthwharf.process.duty;

/** What is known of an outside call after it was made. */
public enum OutsideAnswer {
    /** The call was carried out. */
    DONE,
    /** A higher token was seen before; the call was not carried out. */
    FENCED,
    /** Nothing was written, since there was no connection, or the holder no longer may call. */
    NOT_SENT,
    /** Too many calls were made; the call was not carried out. */
    LIMITED,
    /** The call was refused as malformed or not allowed; repeating it does not help. */
    REJECTED,
    /**
     * There was no usable answer within the timeout: the call was carried out, will be later, or
     * never will.
     */
    UNKNOWN
}
