import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes one line for each thing that was sent, answered or run, with the time since the start. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long start = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Milliseconds since the start of the script. */
  long now() {
    return (System.nanoTime() - start) / 1_000_000;
  }

  synchronized void line(String text) {
    out.printf("%7d ms  %s%n", now(), text);
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
