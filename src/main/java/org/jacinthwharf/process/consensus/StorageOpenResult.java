package org.jacinthwharf.process.consensus;

/** The result of opening a data folder. Immutable. */
public sealed interface StorageOpenResult {
    /**
     * This process holds the folder, and its content is valid.
     *
     * @param storage the member's storage
     */
    record Opened(RaftStorage storage) implements StorageOpenResult {}

    /**
     * The folder was refused; its content is unchanged.
     *
     * @param reason why the folder was refused
     * @param detail the problem and the recommended action, for operators
     */
    record Refused(Reason reason, String detail) implements StorageOpenResult {}

    /** Why a folder was refused. */
    enum Reason {
        /** Another process holds the folder. */
        LOCKED,
        /** The folder belongs to a member on another VM. */
        OTHER_VM,
        /** Synced content is damaged or missing; the identity must not be reused. */
        CORRUPT,
        /** The file system reported an error. */
        IO_ERROR
    }
}
