import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;

/** The platform's change log: numbered events, asked for by long polls. */
final class ChangeLog implements AutoCloseable {
  private final HttpServer server;
  private final List<String> events = new ArrayList<>();

  ChangeLog() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task);
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/changes", this::changes);
    server.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  /** Adds an event; endpoints is a JSON array. */
  synchronized void add(boolean snapshot, String endpoints) {
    int seq = events.size() + 1;
    events.add(
        "{\"seq\":" + seq + ",\"fleet\":{\"index\":" + seq + ",\"snapshot\":" + snapshot
            + ",\"endpoints\":" + endpoints + "}}");
    notifyAll();
  }

  /** The events after a number, in the form of {@code known}. */
  synchronized String since(int seq) {
    return "{\"seq\":" + events.size() + ",\"results\":["
        + String.join(",", events.subList(Math.min(seq, events.size()), events.size())) + "]}";
  }

  private void changes(HttpExchange exchange) throws IOException {
    int since = 0;
    long timeout = 0;
    for (String pair : exchange.getRequestURI().getQuery().split("&")) {
      if (pair.startsWith("since=")) {
        since = Integer.parseInt(pair.substring(6));
      } else if (pair.startsWith("timeout=")) {
        timeout = Math.min(5_000, Long.parseLong(pair.substring(8)));
      }
    }
    long end = System.currentTimeMillis() + timeout;
    String answer;
    synchronized (this) {
      try {
        for (long left; events.size() <= since && (left = end - System.currentTimeMillis()) > 0; ) {
          wait(left);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      answer = since(since);
    }
    byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(200, bytes.length);
    try (OutputStream body = exchange.getResponseBody()) {
      body.write(bytes);
    }
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
