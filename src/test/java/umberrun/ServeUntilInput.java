package umberrun;

import java.io.IOException;

/**
 * Serves like {@link Main}, until a byte arrives on standard input: then the thread of the event
 * loop ends by an error.
 */
final class ServeUntilInput {
  private ServeUntilInput() {}

  /** Takes no arguments of its own. */
  @SuppressWarnings({"deprecation", "removal"})
  public static void main(String[] args) throws IOException {
    Main.main(args);
    System.in.read();
    Thread.getAllStackTraces().keySet().stream()
        .filter(thread -> thread.getName().startsWith("vert.x-eventloop"))
        .forEach(Thread::stop);
  }
}
