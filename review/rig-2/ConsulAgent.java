import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/**
 * A stand-in for a Consul agent, after its published HTTP API: registration of services, the health
 * endpoint with blocking queries, and the catalogue with metadata of services and nodes.
 */
final class ConsulAgent implements AutoCloseable {
  /** An instance of the workers' service. */
  private static final class Instance {
    final Rig.Worker worker;
    final Map<String, String> meta;
    volatile String status = "passing";

    Instance(Rig.Worker worker, Map<String, String> meta) {
      this.worker = worker;
      this.meta = meta;
    }
  }

  private final String service;
  private final Map<String, Instance> instances = new LinkedHashMap<>();
  private final HttpServer server;
  private long index = 10;

  ConsulAgent(Rig rig, String service) throws IOException {
    this.service = service;
    server = HttpServer.create(new InetSocketAddress(Rig.HOST, rig.freePort()), 64);
    server.setExecutor(
        Executors.newCachedThreadPool(
            r -> {
              Thread t = new Thread(r, "consul");
              t.setDaemon(true);
              return t;
            }));
    server.createContext("/v1/agent/service/", e -> respond(e, ""));
    server.createContext("/v1/health/service/" + service, this::health);
    server.createContext("/v1/catalog/service/" + service, e -> respond(e, catalog()));
    server.start();
  }

  String address() {
    return Rig.HOST + ":" + server.getAddress().getPort();
  }

  synchronized void add(Rig.Worker worker, Map<String, String> meta) {
    instances.put(worker.name, new Instance(worker, meta));
    index++;
    notifyAll();
  }

  private void health(HttpExchange exchange) throws IOException {
    long known = 0;
    long wait = 0;
    for (String pair : String.valueOf(exchange.getRequestURI().getQuery()).split("&")) {
      if (pair.startsWith("index=")) {
        known = Long.parseLong(pair.substring(6));
      } else if (pair.startsWith("wait=")) {
        wait = Long.parseLong(pair.substring(5).replaceAll("[^0-9]", ""));
      }
    }
    respond(exchange, health(known, wait));
  }

  private synchronized String health(long known, long wait) {
    long end = System.nanoTime() + wait * 1_000_000;
    try {
      while (known == index && System.nanoTime() < end) {
        wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    List<String> all = new ArrayList<>();
    for (Instance i : instances.values()) {
      all.add(
          "{\"Node\":{\"Node\":\"node-"
              + i.worker.name
              + "\",\"Address\":\""
              + Rig.HOST
              + "\"},\"Service\":{\"ID\":\""
              + i.worker.name
              + "\",\"Service\":\""
              + service
              + "\",\"Address\":\""
              + Rig.HOST
              + "\",\"Port\":"
              + i.worker.port()
              + ",\"Meta\":"
              + json(i.meta)
              + "},\"Checks\":[{\"CheckID\":\"serfHealth\",\"Status\":\"passing\"},"
              + "{\"CheckID\":\"service:"
              + i.worker.name
              + "\",\"Status\":\""
              + i.status
              + "\"}]}");
    }
    return "[" + String.join(",", all) + "]";
  }

  private synchronized String catalog() {
    List<String> all = new ArrayList<>();
    for (Instance i : instances.values()) {
      all.add(
          "{\"Node\":\"node-"
              + i.worker.name
              + "\",\"Address\":\""
              + Rig.HOST
              + "\",\"NodeMeta\":{},\"ServiceID\":\""
              + i.worker.name
              + "\",\"ServiceName\":\""
              + service
              + "\",\"ServiceAddress\":\""
              + Rig.HOST
              + "\",\"ServicePort\":"
              + i.worker.port()
              + ",\"ServiceMeta\":"
              + json(i.meta)
              + "}");
    }
    return "[" + String.join(",", all) + "]";
  }

  private static String json(Map<String, String> meta) {
    List<String> all = new ArrayList<>();
    meta.forEach((k, v) -> all.add("\"" + k + "\":\"" + v + "\""));
    return "{" + String.join(",", all) + "}";
  }

  private void respond(HttpExchange exchange, String body) throws IOException {
    exchange.getRequestBody().readAllBytes();
    byte[] bytes = Rig.bytes(body);
    synchronized (this) {
      exchange.getResponseHeaders().set("X-Consul-Index", Long.toString(index));
    }
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(200, bytes.length == 0 ? -1 : bytes.length);
    if (bytes.length > 0) {
      exchange.getResponseBody().write(bytes);
    }
    exchange.close();
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
