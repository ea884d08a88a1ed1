package org.jacinthwharf.process.questionnaire;

import com.google.common.io.BaseEncoding;
import java.io.IOException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.SecureRandom;
import java.util.Map;

/**
 * Writes the files of a deployment.
 *
 * <p>Thread-safe; after concurrent calls for one folder, each file may come from either call.
 * Invariant: an existing token file is never changed, and a new one is never readable by other
 * users.
 */
public final class OutputFolder {
    private static final int TOKEN_BYTES = 32;

    private final Path mFolder;
    private final SecureRandom mRandom;

    /** Creates a writer for a folder; the folder is created if it does not exist. */
    public OutputFolder(Path folder, SecureRandom random) {
        mFolder = folder;
        mRandom = random;
    }

    /**
     * Writes the files, and an operator token if the folder has none.
     *
     * @return whether a token was written
     * @throws IOException if a file cannot be written; files written before it stay
     */
    public boolean write(DeploymentFiles files) throws IOException {
        Files.createDirectories(mFolder);
        for (Map.Entry<String, String> f : files.contents().entrySet()) {
            Files.writeString(mFolder.resolve(f.getKey()), f.getValue());
        }
        return writeToken(mFolder.resolve(DeploymentFiles.TOKEN_FILE));
    }

    private boolean writeToken(Path file) throws IOException {
        byte[] token = new byte[TOKEN_BYTES];
        mRandom.nextBytes(token);
        try {
            Files.createFile(
                    file,
                    PosixFilePermissions.asFileAttribute(
                            PosixFilePermissions.fromString("rw-------")));
        } catch (FileAlreadyExistsException expected) {
            return false;
        }
        Files.writeString(file, BaseEncoding.base16().lowerCase().encode(token) + "\n");
        return true;
    }
}
