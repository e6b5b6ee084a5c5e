package org.apricotgauge.operator.review;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** Reads files with messages that say what is wrong, not only the name of the file. */
final class TextFile {

    private TextFile() {}

    static String read(Path path) throws IOException {
        try {
            return Files.readString(path, StandardCharsets.UTF_8);
        } catch (NoSuchFileException e) {
            throw new IOException("there is no file " + path);
        } catch (CharacterCodingException e) {
            throw new IOException(path + " is not UTF-8 text");
        }
    }
}
