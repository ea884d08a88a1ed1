package org.jacinthwharf.process.consensus;

/** How the opening of a data folder ended. Immutable. */
public sealed interface StorageOpening {
    /**
     * The folder is held by this process and its content is whole.
     *
     * @param storage the member's storage
     */
    record Opened(RaftStorage storage) implements StorageOpening {}

    /**
     * The folder is not used, and nothing in it was changed.
     *
     * @param reason why
     * @param detail what was found, and what an operator should do
     */
    record Refused(Reason reason, String detail) implements StorageOpening {}

    /** Why a folder is not used. */
    enum Reason {
        /** Another process holds the folder. */
        LOCKED,
        /** The folder was made by a member on another VM. */
        OTHER_VM,
        /** Synced content is damaged or missing; the identity must not be used again. */
        CORRUPT,
        /** The file system reported an error. */
        IO_ERROR
    }
}
