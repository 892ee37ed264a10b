package umberrun.handover;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.function.Consumer;
import umberrun.core.ClaimTable;
import umberrun.core.Clock;
import umberrun.core.RequestClaims;

/**
 * Claims of requests in files in the folder that the processes of one front end share. All of them
 * append to the file of the current period of the machine's clock and read it to its end, so they
 * see the same claims in the same order: the first claim of a request is the one that holds.
 *
 * <p>The methods block, for microseconds where the folder is in memory, as it is on the platform.
 */
final class RequestClaimFiles implements RequestClaims {
  private static final String PREFIX = "claims-1-";

  /** A record: the request, the process, and whether it claims or releases. */
  private static final int RECORD_BYTES = 2 * Long.BYTES + 1;

  private static final byte CLAIM = 1;
  private static final byte RELEASE = 2;
  private static final int RECORDS_PER_READ = 256;

  /** How often a claim is tried, as a period may end meanwhile. */
  private static final int MAX_TRIES = 3;

  private final Path folder;
  private final long self;
  private final Clock clock;
  private final Consumer<String> log;
  private final ClaimTable table = new ClaimTable();
  private final ByteBuffer buffer = ByteBuffer.allocate(RECORD_BYTES * RECORDS_PER_READ);
  private long period = -1;
  private FileReader previous;
  private FileReader current;

  /** Whether the last access has failed, so that a fault is logged once. */
  private boolean failed;

  /** An open file, which is read from its beginning. */
  private final class FileReader {
    private final FileChannel out;
    private final FileChannel in;
    private long position;

    FileReader(long number) throws IOException {
      Path path = folder.resolve(PREFIX + number);
      out = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
      in = FileChannel.open(path, StandardOpenOption.READ);
    }

    void append(long requestId, byte kind) throws IOException {
      ByteBuffer entry = ByteBuffer.allocate(RECORD_BYTES);
      entry.putLong(requestId).putLong(self).put(kind).flip();
      out.write(entry);
    }

    /** Applies the records that were appended since the last time. */
    void readNew() throws IOException {
      while (in.size() - position >= RECORD_BYTES) {
        buffer.clear();
        in.read(buffer, position);
        buffer.flip();
        while (buffer.remaining() >= RECORD_BYTES) {
          apply(buffer.getLong(), buffer.getLong(), buffer.get());
          position += RECORD_BYTES;
        }
      }
    }

    void close() throws IOException {
      out.close();
      in.close();
    }
  }

  /**
   * @param self identifies this process
   */
  RequestClaimFiles(Path folder, long self, Clock clock, Consumer<String> log) {
    this.folder = folder;
    this.self = self;
    this.clock = clock;
    this.log = log;
  }

  @Override
  public Outcome claim(long requestId) {
    try {
      Outcome outcome = tryClaim(requestId);
      failed = false;
      return outcome;
    } catch (IOException e) {
      logFault(e);
      return Outcome.UNAVAILABLE;
    }
  }

  private Outcome tryClaim(long requestId) throws IOException {
    for (int i = 0; i < MAX_TRIES; i++) {
      long wanted = currentPeriod();
      enterPeriod(wanted);
      previous.readNew();
      current.readNew();
      if (table.contains(requestId)) {
        return Outcome.TAKEN;
      }
      if (!table.hasRoom()) {
        return Outcome.UNAVAILABLE;
      }
      current.append(requestId, CLAIM);
      current.readNew();
      if (table.add(requestId, self) != self) {
        return Outcome.TAKEN;
      }
      // Others may not read a file whose period has ended.
      if (currentPeriod() == wanted) {
        return Outcome.GRANTED;
      }
      table.remove(requestId, self);
    }
    return Outcome.UNAVAILABLE;
  }

  @Override
  public void release(long requestId) {
    table.remove(requestId, self);
    try {
      enterPeriod(currentPeriod());
      current.append(requestId, RELEASE);
    } catch (IOException e) {
      // The request stays claimed for the other processes, which is safe.
      logFault(e);
    }
  }

  private void apply(long requestId, long owner, byte kind) {
    if (kind == CLAIM) {
      table.add(requestId, owner);
    } else if (kind == RELEASE) {
      table.remove(requestId, owner);
    }
  }

  private long currentPeriod() {
    return clock.toMachineTime(clock.now()) / KEPT_MICROS;
  }

  /** Opens the files of a period and of the one before it, unless they are open. */
  private void enterPeriod(long number) throws IOException {
    if (number == period) {
      return;
    }
    FileReader next = new FileReader(number);
    if (number == period + 1 && current != null) {
      current.readNew();
      table.beginPeriod();
      previous.close();
      previous = current;
    } else {
      table.clear();
      closeAll();
      previous = new FileReader(number - 1);
      previous.readNew();
      table.beginPeriod();
    }
    current = next;
    period = number;
    deleteOld();
  }

  private void closeAll() throws IOException {
    if (previous != null) {
      previous.close();
    }
    if (current != null) {
      current.close();
    }
  }

  /** Deletes the files of other periods; later ones are of the time before the machine started. */
  private void deleteOld() throws IOException {
    try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, PREFIX + "*")) {
      for (Path file : files) {
        long number = Long.parseLong(file.getFileName().toString().substring(PREFIX.length()));
        if (Math.abs(number - period) > 1) {
          Files.deleteIfExists(file);
        }
      }
    }
  }

  private void logFault(IOException e) {
    if (!failed) {
      failed = true;
      log.accept("handover: requests can't be claimed: " + e);
    }
  }
}
