package umberrun;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;
import static org.junit.Assert.fail;

import com.google.gson.JsonObject;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.vertx.core.Context;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.Value;
import sun.misc.Signal;
import umberrun.config.Config;
import umberrun.stats.Counters.Count;

/**
 * The scenario language: each line names a party, a verb (send, expect, close, wait) and words.
 * Parties are clients of the platform's protocol (c1), of the invoke API (h1), workers (w1, in
 * hall-a; x1, in hall-b; w1-b, in another cell), the change log (log) and Consul; r1 is a client of
 * the invoke API that writes its bytes itself, and d1 one of the operators' door. What a party
 * expects must come within ten seconds, and is waited for as an event.
 */
final class Scenario implements AutoCloseable {
  static final long PATIENCE_SECONDS = 10;
  private static final int RECEIVE_BYTES = 16 << 10;
  private static final int FULL_MILLIS = 300;
  private static final String LOOPBACK = "127.0.0.1";
  static final String SETTINGS =
      """
      {"Classes":[{"Aim":800,"DedupWindow":5000,"GiveUp":4000,"Group":"all","Idempotency":"idempotent",
        "LateWorth":0.2,"Name":"date-lookup","Worth":1},
       {"Aim":800,"DedupWindow":5000,"GiveUp":5000,"Group":"zone","Idempotency":"deduplicated","LateWorth":0.3,
        "Name":"slot-change","Worth":3}],
       "FamilyInfo":{"MayLoad":true,"LoadsWithin":5000,"FreeLoads":4,"LoadsPerRequest":0.15,"MissMode":"load",
        "StaysLoaded":8600,"WarmNotes":true,"CountsAlike":true},
       "Limits":{"ConnectTimeout":250,"IdleClose":15000,"MayCancel":true,"MayDuplicate":true,"MayProbe":true,
        "MaxRetryAfter":1000,"MostTries":6,"RetryAfter":true,"StreamsPerConn":100},
       "Rules":{"AnswerSlack":16,"Cold":17000,"ColdFrom":0.18,"DrainGrace":1000,"Fall":1000,"FallMultiple":2},
       "Report":{"Fields":["utilization","x1","x0"],"Via":"pull"},"Siblings":3,"Zone":0,
       "Tenants":[{"Name":"central-council","Fraction":1,"QuotaPerS":500}],
       "Kinds":["std-2"],"Zones":["hall-a","hall-b","hall-c"]}""";

  private final Map<String, Worker> workers = new HashMap<>();
  private final Map<String, Raw> raws = new HashMap<>();
  private final Map<String, RpcClient> clients = new HashMap<>();
  private final Map<String, CompletableFuture<HttpResponse<byte[]>>> asked = new HashMap<>();
  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final Map<String, String> env;
  private final int sockets;
  private final String settings;
  private final Path shared;
  private HttpServer roll;
  private final List<String> events = new ArrayList<>();
  private final List<String> consulWorkers = new ArrayList<>();
  private final Map<String, JsonObject> instances = new java.util.concurrent.ConcurrentHashMap<>();
  private final BlockingQueue<String> registered = new LinkedBlockingQueue<>();
  private final BlockingQueue<Spoilt> spoilt = new LinkedBlockingQueue<>();
  private int consulIndex = 1;

  /** Consul answers each query with an error. */
  volatile boolean consulFails;

  private String location;
  Server server;

  /** Of the front end that is started next. */
  String name = "n1";

  private final List<Server> servers = new ArrayList<>();

  /**
   * Starts a front end with these workers; {@code consul} has them listed there instead of in the
   * change log.
   */
  Scenario(boolean consul, String operatorDeferred, String... names) throws Exception {
    this(8_192, consul, operatorDeferred, names);
  }

  /** The same within so many descriptors. */
  Scenario(int sockets, boolean consul, String operatorDeferred, String... names) throws Exception {
    this(sockets, SETTINGS, null, consul, operatorDeferred, names);
  }

  /** A front end of another deployment. */
  static Scenario with(String settings, String... names) throws Exception {
    return new Scenario(8_192, settings, null, false, "{}", names);
  }

  /** What tells this deployment from others with the same name. */
  static String deployment(String settings) throws Exception {
    Path file =
        Files.writeString(
            Files.createTempFile("config", ".json"),
            "{\"listen\":\"127.0.0.1:0\",\"changelog\":\"127.0.0.1:1\",\"settings\":"
                + settings
                + "}");
    file.toFile().deleteOnExit();
    return Config.read(Map.of("EDGE_CONFIG", file.toString())).deployment();
  }

  /** With a door for operators and a folder to share with a successor. */
  static Scenario daily(Path shared, String... names) throws Exception {
    return dailyWith(SETTINGS, shared, names);
  }

  /** The same of another deployment. */
  static Scenario dailyWith(String settings, Path shared, String... names) throws Exception {
    return new Scenario(8_192, settings, shared, false, "{}", names);
  }

  private Scenario(
      int sockets,
      String settings,
      Path shared,
      boolean consul,
      String operatorDeferred,
      String... names)
      throws Exception {
    this.sockets = sockets;
    this.settings = settings;
    this.shared = shared;
    roll = roll();
    for (String name : names) {
      workers.put(name, new Worker(name));
      change(name, "in_service");
      consulWorkers.add(name + " passing");
    }
    JsonObject operator = new JsonObject();
    JsonObject invoke = new JsonObject();
    invoke.addProperty("listen", LOOPBACK + ":0");
    operator.add("invoke", invoke);
    operator.add("deferred", com.google.gson.JsonParser.parseString(operatorDeferred));
    if (consul) {
      JsonObject c = new JsonObject();
      c.addProperty("agent", rollAddress());
      c.addProperty("workers", "route-workers");
      operator.add("consul", c);
    }
    Path file = Files.writeString(Files.createTempFile("operator", ".json"), operator.toString());
    Path main = Files.writeString(Files.createTempFile("config", ".json"), config(0));
    file.toFile().deleteOnExit();
    main.toFile().deleteOnExit();
    env =
        Map.of(
            "EDGE_CONFIG",
            main.toString(),
            "UMBERRUN_OPERATOR",
            file.toString(),
            "EDGE_OPERATOR",
            shared == null ? "" : LOOPBACK + ":0");
    CompletableFuture<Server> made = new CompletableFuture<>();
    Server.heed(env, made);
    server = start(env);
    made.complete(server);
  }

  private Server start(Map<String, String> env) throws Exception {
    return open(new Server(Config.read(env), shared));
  }

  private Server open(Server s) throws Exception {
    servers.add(s);
    s.open().toCompletionStage().toCompletableFuture().get(PATIENCE_SECONDS, TimeUnit.SECONDS);
    return s;
  }

  /**
   * Starts the program a second time at the clients' address; parties that come now meet either.
   * The one before.
   */
  Server succeed() throws Exception {
    Server before = server;
    write(config(before.rpcPort()));
    server = start(env);
    return before;
  }

  /**
   * Starts another front end beside this one; the change log moves, and the signal comes, once it
   * has read where that was.
   */
  void startAsTheRollMoves() throws Exception {
    CompletableFuture<Server> made = new CompletableFuture<>();
    Server.heed(env, made);
    write(config(0));
    Server next = new Server(Config.read(env), shared);
    moveRollBy(
        text -> {
          write(text);
          Signal.raise(new Signal("HUP"));
        });
    while (made.getNumberOfDependents() < 1) {
      Thread.onSpinWait(); // the signal has come
    }
    made.complete(next);
    server = open(next);
  }

  /**
   * Starts another front end beside this one, which knows the same workers and learns from these
   * peers.
   */
  Server learn(String... peers) throws Exception {
    JsonObject learning = new JsonObject();
    learning.addProperty("listen", LOOPBACK + ":0");
    learning.add("peers", new com.google.gson.Gson().toJsonTree(peers));
    JsonObject file = new JsonObject();
    file.add("learning", learning);
    return beside(file);
  }

  /** Starts another front end beside this one with this operator's file; the one before. */
  Server beside(JsonObject file) throws Exception {
    Server before = server;
    Map<String, String> other = new HashMap<>(env);
    other.put(
        "UMBERRUN_OPERATOR",
        Files.writeString(Files.createTempFile("operator", ".json"), file.toString()).toString());
    Path main = Path.of(env.get("EDGE_CONFIG"));
    Files.writeString(main, config(0));
    server = start(other);
    return before;
  }

  /** What this address answers to a GET: its status, its Retry-After and its body. */
  String get(int port, String path) throws Exception {
    HttpResponse<String> r =
        http.send(
            HttpRequest.newBuilder(URI.create("http://" + LOOPBACK + ":" + port + path)).build(),
            HttpResponse.BodyHandlers.ofString());
    return r.statusCode() + " " + r.headers().firstValue("Retry-After").orElse("") + " " + r.body();
  }

  /**
   * Starts the program a second time as a process of its own, with a door at this port, within
   * {@code TMPDIR}.
   */
  Process succeedAsProcess(Path temporary, int door, String settings) throws Exception {
    write(config(server.rpcPort(), settings));
    return process(
        temporary,
        door,
        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
        "-cp",
        System.getProperty("java.class.path"),
        "umberrun.Main",
        "serve");
  }

  /** The same with a parent that ignores the signal that announces a new configuration. */
  Process succeedUnderNohup(Path temporary, int door) throws Exception {
    write(config(server.rpcPort()));
    return process(
        temporary,
        door,
        "sh",
        "-c",
        "trap '' HUP; exec \"$0\" \"$@\"",
        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
        "-cp",
        System.getProperty("java.class.path"),
        "umberrun.Main",
        "serve");
  }

  private Process process(Path temporary, int door, String... command) throws Exception {
    ProcessBuilder b = new ProcessBuilder(command).inheritIO();
    b.environment()
        .putAll(
            Map.of(
                "EDGE_CONFIG",
                env.get("EDGE_CONFIG"),
                "EDGE_OPERATOR",
                LOOPBACK + ":" + door,
                "TMPDIR",
                temporary.toString()));
    Process p = b.start();
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
    while (!isReady(door)) {
      assertTrue("the second process is not ready", p.isAlive() && System.nanoTime() < end);
      Thread.sleep(20);
    }
    return p;
  }

  private boolean isReady(int door) throws InterruptedException {
    try {
      return http.send(
                  HttpRequest.newBuilder(
                          URI.create("http://" + LOOPBACK + ":" + door + "/v1/readyz"))
                      .build(),
                  HttpResponse.BodyHandlers.ofString())
              .statusCode()
          == 200;
    } catch (IOException e) { // it does not listen yet
      return false;
    }
  }

  private HttpServer roll() throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(LOOPBACK, 0), 0);
    server.setExecutor(
        java.util.concurrent.Executors.newCachedThreadPool(
            r -> {
              Thread t = new Thread(r);
              t.setDaemon(true);
              return t;
            }));
    server.createContext("/changes", this::changes);
    server.createContext("/v1/", this::consul);
    server.start();
    return server;
  }

  String rollAddress() {
    return LOOPBACK + ":" + roll.getAddress().getPort();
  }

  private String config(int port) {
    return config(port, settings);
  }

  private String config(int port, String settings) {
    return "{\"name\":\""
        + name
        + "\",\"listen\":\"127.0.0.1:"
        + port
        + "\",\"seed\":\"1\",\"limits\":{\"memory_mb\":12,\"sockets\":"
        + sockets
        + "},\"changelog\":\""
        + rollAddress()
        + "\",\"known\":"
        + changesSince(0)
        + ",\"settings\":"
        + settings
        + "}";
  }

  /** Plays these lines while the front end's loop stands still, as on a machine that is late. */
  void playUnseen(String lines, Loop check) throws Exception {
    playStanding(stand -> server.context().runOnContext(v -> stand.run()), lines, check);
  }

  /**
   * The same from so many milliseconds on and for so many more, across what is due then, and two
   * turns after that.
   */
  void playAcross(long from, long more, String lines) throws Exception {
    Context loop = server.context();
    playStanding(
        stand ->
            loop.runOnContext(
                v ->
                    loop.owner()
                        .setTimer(
                            from,
                            t -> loop.runOnContext(x -> loop.runOnContext(y -> stand.run())))),
        lines,
        () -> LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(more))); // what is due falls due
  }

  private void playStanding(Consumer<Runnable> arrange, String lines, Loop check) throws Exception {
    CountDownLatch stands = new CountDownLatch(1);
    CountDownLatch over = new CountDownLatch(1);
    arrange.accept(
        () -> {
          stands.countDown();
          try {
            over.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    stands.await();
    try {
      play(lines);
      check.run();
    } finally {
      over.countDown();
    }
  }

  /**
   * The change log answers elsewhere from now on, and the configuration says where. The old one
   * stays silent.
   */
  void moveRoll() throws Exception {
    moveRollBy(config -> reload(config, Count.CONFIGS_TAKEN));
  }

  /** The same with a way of one's own to put the new configuration in place. */
  void moveRollBy(Reload reload) throws Exception {
    roll = roll();
    reload.with(config(0));
  }

  interface Reload {
    void with(String config) throws Exception;
  }

  /** Puts another configuration in place. */
  void write(String config) throws IOException {
    Files.writeString(Path.of(env.get("EDGE_CONFIG")), config);
  }

  /**
   * Puts another configuration in place and sends the signal; returns once {@code outcome} was
   * counted.
   */
  void reload(String config, Count outcome) throws Exception {
    long before = server.counters().get(outcome);
    write(config);
    Signal.raise(new Signal("HUP"));
    await(outcome, before);
  }

  static Scenario of(String... workers) throws Exception {
    return new Scenario(false, "{}", workers);
  }

  /** Plays the lines of a text. */
  Scenario play(String text) throws Exception {
    for (String line : text.strip().split("\n")) {
      try {
        step(line.strip().split("\\s+"));
      } catch (AssertionError e) {
        throw new AssertionError("at '" + line.strip() + "': " + e.getMessage(), e);
      }
    }
    return this;
  }

  private void step(String[] words) throws Exception {
    String party = words[0];
    String verb = words[1];
    String[] rest = Arrays.copyOfRange(words, 2, words.length);
    switch (party.charAt(0)) {
      case 'w', 'x' -> worker(party, verb, rest);
      case 'c' -> {
        if (party.equals("consul")) {
          consulStep(verb, rest);
        } else {
          clients.computeIfAbsent(party, p -> new RpcClient()).step(verb, rest);
        }
      }
      case 'h' -> invoke(party, verb, rest);
      case 'r' ->
          raws.computeIfAbsent(party, p -> connect(server.invokePort()))
              .step(verb, String.join(" ", rest));
      case 'd' -> door(party, verb, String.join(" ", rest));
      case 'l' -> change(rest[0], rest[1]);
      default -> fail("no such party");
    }
  }

  /** A further worker comes up. */
  void append(String name) throws Exception {
    workers.put(name, new Worker(name));
    change(name, "in_service");
  }

  /** A further worker comes up, and the front end has been told of it when this returns. */
  void join(String name) throws Exception {
    long before = server.counters().get(Count.LIST_CHANGES);
    append(name);
    await(Count.LIST_CHANGES, before);
  }

  /** Waits for the event that more was counted than before. */
  void await(Count count, long before) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
    while (server.counters().get(count) <= before) {
      assertTrue("nothing more of " + count, System.nanoTime() < end);
      Thread.sleep(1);
    }
  }

  /** One call of a mix of both styles and classes; the status of its final answer. */
  CompletableFuture<String> mixed(int i) {
    boolean deferred = i % 2 == 0;
    String base = "http://" + LOOPBACK + ":" + server.invokePort();
    HttpRequest.Builder r =
        HttpRequest.newBuilder(
                URI.create(base + "/v1/functions/7f3a9c21e0b4d65" + i % 8 + "/invocations"))
            .header("Invoke-Class", i % 3 == 0 ? "slot-change" : "date-lookup")
            .header("Invoke-Tenant", "central-council")
            .header("Idempotency-Key", "key-" + i)
            .POST(HttpRequest.BodyPublishers.ofString("call " + i));
    if (deferred) {
      r.header("Prefer", "respond-async");
    }
    return http.sendAsync(r.build(), HttpResponse.BodyHandlers.ofString())
        .thenCompose(
            x ->
                x.statusCode() != 202
                    ? CompletableFuture.completedFuture(x)
                    : http.sendAsync(
                        HttpRequest.newBuilder(
                                URI.create(base + x.headers().firstValue("Location").orElseThrow()))
                            .header("Prefer", "wait=9")
                            .build(),
                        HttpResponse.BodyHandlers.ofString()))
        .thenApply(x -> Integer.toString(x.statusCode()));
  }

  Worker worker(String name) {
    return workers.get(name);
  }

  // ---------------------------------------------------------------- workers

  private void worker(String name, String verb, String[] words) throws Exception {
    Worker w = workers.get(name);
    switch (verb) {
      case "expect" -> w.expect(words);
      case "send" -> w.send(words);
      case "close" -> w.close();
      case "wait" ->
          assertTrue(
              "nothing was to come",
              w.commands.poll(Long.parseLong(words[0]), TimeUnit.MILLISECONDS) == null);
      default -> fail("no such verb");
    }
  }

  /** A command that a worker got, and the connection that its answer goes to. */
  record Command(List<String> words, Socket from) {}

  /** A stand-in for a worker; {@code answersAll} has it serve every RUN at once. */
  static final class Worker {
    final ServerSocket listener;
    final BlockingQueue<Command> commands = new LinkedBlockingQueue<>();
    private final List<Socket> sockets = new ArrayList<>();
    private Command last;
    private Command previous;
    volatile boolean answersAll;

    /** Takes what comes and says nothing. */
    volatile boolean silent;

    final AtomicInteger probes = new AtomicInteger();

    /** Calls and orders to load that came. */
    final AtomicInteger work = new AtomicInteger();

    /** Takes what comes in the place of such answers. */
    volatile Consumer<Command> serves;

    /** The body of such an answer; the call's own where it is null. */
    volatile String longAnswer;

    /**
     * Connections that take all places of one whose name ends in -held, so that no other comes up.
     */
    private final List<Socket> fillers = new ArrayList<>();

    /**
     * @param name one that ends in -down refuses connections, one in -held lets none come up until
     *     it sends 'up'
     */
    Worker(String name) throws IOException {
      boolean held = name.endsWith("-held");
      listener = new ServerSocket(0, held ? 1 : 50, InetAddress.getByName(LOOPBACK));
      if (name.endsWith("-down")) {
        listener.close();
      } else if (held) {
        try {
          while (true) {
            Socket filler = new Socket();
            fillers.add(filler);
            filler.connect(listener.getLocalSocketAddress(), FULL_MILLIS);
          }
        } catch (java.net.SocketTimeoutException e) {
          // now it is full
        }
      } else {
        comeUp();
      }
    }

    void comeUp() {
      daemon(
          () -> {
            for (Socket filler : fillers) {
              filler.close();
            }
            while (true) {
              Socket s = listener.accept();
              sockets.add(s);
              daemon(() -> read(s));
            }
          });
    }

    private void read(Socket s) throws IOException {
      DataInputStream in = new DataInputStream(new java.io.BufferedInputStream(s.getInputStream()));
      while (true) {
        List<String> words = new ArrayList<>();
        for (int n = Integer.parseInt(line(in).substring(1)); n > 0; n--) {
          words.add(
              new String(
                  in.readNBytes(Integer.parseInt(line(in).substring(1))),
                  StandardCharsets.ISO_8859_1));
          line(in);
        }
        Command c = new Command(words, s);
        work.addAndGet(words.get(0).equals("RUN") || words.get(0).equals("HOLD") ? 1 : 0);
        if (serves != null && !silent) {
          serves.accept(c);
          continue;
        }
        if (answersAll && !silent && words.get(0).equals("RUN")) {
          answer(c, "200", "n=w", longAnswer != null ? longAnswer : words.get(3));
        } else if (answersAll && !silent && words.get(0).equals("HOLD")) {
          answer(c, "200", "pods=1", "");
        } else if (answersAll && words.get(0).equals("INFO")) {
          probes.incrementAndGet();
          if (!silent) {
            answer(c, "alive", "util:0.1", "");
          }
        }
        commands.add(c);
      }
    }

    private static String line(DataInputStream in) throws IOException {
      StringBuilder b = new StringBuilder();
      for (int c; (c = in.read()) != '\r'; ) {
        if (c < 0) {
          throw new IOException("closed");
        }
        b.append((char) c);
      }
      in.read();
      return b.toString();
    }

    void expect(String... words) throws InterruptedException {
      previous = last;
      last = commands.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
      assertNotNull("nothing came", last);
      String all = String.join(" ", last.words);
      for (String word : words) {
        assertTrue(all + " lacks " + word, all.contains(word));
      }
    }

    /**
     * Answers the last command, or the one before it: a word, fields and a body; or 'raw' bytes in
     * hex; or 'unknown', an answer that nobody asked for; or 'reset', which ends the connection of
     * the last command as a process does that dies; or 'up'.
     */
    void send(String... words) throws IOException {
      if (words[0].equals("previous")) {
        answer(previous, words[1], "-", "");
      } else if (words[0].equals("raw")) {
        last.from.getOutputStream().write(HexFormat.of().parseHex(words[1]));
      } else if (words[0].equals("up")) {
        comeUp();
      } else if (words[0].equals("reset")) {
        last.from.setSoLinger(true, 0);
        last.from.close();
      } else if (words[0].equals("unknown")) {
        answer(
            new Command(List.of("RUN", "00000000000000aa"), last.from), words[1], "-", "not yours");
      } else {
        answer(last, words[0], words.length > 1 ? words[1] : "-", words.length > 2 ? words[2] : "");
      }
    }

    static void answer(Command c, String word, String fields, String body) throws IOException {
      StringBuilder b = new StringBuilder("*4\r\n");
      for (String part : List.of(c.words.get(1), word, fields, body)) {
        b.append('$').append(part.length()).append("\r\n").append(part).append("\r\n");
      }
      synchronized (c.from) {
        c.from.getOutputStream().write(b.toString().getBytes(StandardCharsets.ISO_8859_1));
      }
    }

    /** Closes the listener and every connection. */
    void close() throws IOException {
      listener.close();
      for (Socket s : sockets) {
        s.close();
      }
    }
  }

  // ---------------------------------------------------------------- clients of the platform's
  // protocol

  private final class RpcClient {
    private final Socket socket;
    private final MessageUnpacker in;
    private byte[] rest;

    RpcClient() {
      try {
        socket = new Socket();
        socket.setReceiveBufferSize(
            RECEIVE_BYTES); // so that what a client does not read stays at the front end
        socket.connect(new InetSocketAddress(LOOPBACK, server.rpcPort()));
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(PATIENCE_SECONDS));
        in = MessagePack.newDefaultUnpacker(socket.getInputStream());
      } catch (IOException e) {
        throw new AssertionError(e);
      }
    }

    void step(String verb, String[] words) throws Exception {
      switch (verb) {
        case "send" -> socket.getOutputStream().write(message(words));
        case "expect" -> {
          if (words[0].equals("close")) {
            assertEquals("still open", -1, socket.getInputStream().read());
            return;
          }
          Value v = in.unpackValue();
          if (words[0].equals(
              "perhaps")) { // the answer to the call with this id, and then what is expected
            v = v.toString().startsWith("[1," + words[1] + ",") ? in.unpackValue() : v;
            words = Arrays.copyOfRange(words, 2, words.length);
          }
          for (String word : words) {
            assertTrue(v + " lacks " + word, v.toString().contains(word));
          }
        }
        case "close" -> socket.close();
        case "open" -> {} // it is, and says nothing
        default -> fail("no such verb");
      }
    }

    /**
     * {@code id class name=value ... body=text}, {@code half} of such a one, its {@code rest},
     * {@code revoke id}, or {@code raw hex}.
     */
    private byte[] message(String[] words) throws IOException {
      if (words[0].equals("half")) {
        byte[] whole = message(Arrays.copyOfRange(words, 1, words.length));
        rest = Arrays.copyOfRange(whole, whole.length / 2, whole.length);
        return Arrays.copyOf(whole, whole.length / 2);
      }
      if (words[0].equals("rest")) {
        return rest;
      }
      if (words[0].equals("raw")) {
        return HexFormat.of().parseHex(words[1]);
      }
      var out = MessagePack.newDefaultBufferPacker();
      if (words[0].equals("revoke")) {
        out.packArrayHeader(3)
            .packInt(2)
            .packString("revoke")
            .packArrayHeader(1)
            .packLong(Long.parseLong(words[1]));
        return out.toByteArray();
      }
      Map<String, String> f =
          new HashMap<>(
              Map.of(
                  "rid",
                  "9b1f03aa5c7e2d" + Integer.toHexString(0x40 + Integer.parseInt(words[0])),
                  "budget",
                  "1500",
                  "acct",
                  "central-council",
                  "obj",
                  "7f3a9c21e0b4d655",
                  "info",
                  "memory_mb:512;lanes:2;load_ms:100"));
      if (words[1].equals("slot-change")) {
        f.put("token", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
      }
      for (int i = 2; i < words.length; i++) {
        String[] pair = words[i].split("=", 2);
        f.put(pair[0], pair[1]);
      }
      String size = f.remove("size");
      byte[] body =
          size != null
              ? new byte[Integer.parseInt(size)]
              : f.getOrDefault("body", "").getBytes(StandardCharsets.ISO_8859_1);
      f.remove("body");
      f.values().removeIf("none"::equals);
      out.packArrayHeader(4)
          .packInt(0)
          .packLong(Long.parseLong(words[0]))
          .packString(words[1])
          .packArrayHeader(2)
          .packMapHeader(f.size());
      for (Map.Entry<String, String> e : f.entrySet()) {
        out.packString(e.getKey()).packString(e.getValue());
      }
      out.packBinaryHeader(body.length).writePayload(body);
      return out.toByteArray();
    }
  }

  // ---------------------------------------------------------------- clients of the invoke API

  /** {@code METHOD path Header:value ... =body}; {@code @} as the path is the last Location. */
  private void invoke(String party, String verb, String[] words) throws Exception {
    if (verb.equals("send")) {
      HttpRequest.Builder r =
          HttpRequest.newBuilder(
              URI.create(
                  "http://"
                      + LOOPBACK
                      + ":"
                      + server.invokePort()
                      + (words[1].equals("@") ? location : words[1])));
      String body = "";
      for (int i = 2; i < words.length; i++) {
        String[] pair = words[i].split(":", 2);
        if (words[i].startsWith("=")) {
          body = words[i].substring(1);
        } else if (pair[0].equals("size")) {
          body = "x".repeat(Integer.parseInt(pair[1]));
        } else {
          r.header(pair[0], pair[1]);
        }
      }
      r.method(words[0], HttpRequest.BodyPublishers.ofString(body));
      asked.put(party, http.sendAsync(r.build(), HttpResponse.BodyHandlers.ofByteArray()));
    } else if (verb.equals("expect")) {
      HttpResponse<byte[]> r = asked.get(party).get(PATIENCE_SECONDS, TimeUnit.SECONDS);
      String all =
          r.statusCode()
              + " "
              + r.headers().map()
              + " "
              + new String(r.body(), StandardCharsets.UTF_8);
      location = r.headers().firstValue("Location").orElse(location);
      for (String word : words) {
        assertTrue(all + " lacks " + word, all.contains(word));
      }
      assertTrue(all, all.startsWith(words[0]));
    } else if (verb.equals("close")) {
      asked.get(party).cancel(true);
    }
  }

  /**
   * A client that says just what it is told to say: {@code open}, {@code send text}, {@code expect
   * text|close}.
   */
  private record Raw(Socket socket) {
    void step(String verb, String text) throws IOException {
      if (verb.equals("send")) {
        socket
            .getOutputStream()
            .write(text.replace("|", "\r\n").getBytes(StandardCharsets.ISO_8859_1));
      } else if (verb.equals("expect")) { // all that comes until the close
        String all =
            new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        assertTrue(
            all + " lacks " + text, text.equals("close") ? all.isEmpty() : all.contains(text));
      }
    }
  }

  private static Raw connect(int port) {
    try {
      Socket socket = new Socket(LOOPBACK, port);
      socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(PATIENCE_SECONDS));
      return new Raw(socket);
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  /**
   * {@code send METHOD path} asks the door of the process started last; {@code open} and {@code
   * say} send pieces.
   */
  private void door(String party, String verb, String text) throws IOException {
    Raw raw = raws.computeIfAbsent(party, p -> connect(server.doorPort()));
    if (verb.equals("send")) {
      raw.step("send", text + " HTTP/1.1|Host: edge||");
    } else {
      raw.step(verb.equals("say") ? "send" : verb, text);
    }
    if (verb.equals("expect")) { // one call a connection
      raws.remove(party).socket.close();
    }
  }

  // ---------------------------------------------------------------- the change log, Consul

  /** Waits until the front end has taken in one more line of the list. */
  void tell(String worker, String state) throws Exception {
    long before = server.counters().get(Count.LIST_CHANGES);
    change(worker, state);
    await(Count.LIST_CHANGES, before);
  }

  private void change(String worker, String state) {
    change(events.isEmpty(), line(worker, state));
  }

  private String line(String worker, String state) {
    return "{\"name\":\""
        + worker
        + "\",\"address\":\""
        + LOOPBACK
        + ":"
        + workers.get(worker).listener.getLocalPort()
        + "\",\"zone\":\""
        + zone(worker)
        + "\",\"type\":\"std-2\",\"group\":"
        + (worker.endsWith("-b") ? 1 : 0)
        + ",\"status\":\""
        + state
        + "\",\"weight\":1,\"since_ms\":0}";
  }

  private void change(boolean whole, String lines) {
    synchronized (events) {
      events.add(
          "{\"seq\":"
              + (events.size() + 1)
              + ",\"fleet\":{\"snapshot\":"
              + whole
              + ",\"endpoints\":["
              + lines
              + "]}}");
      events.notifyAll();
    }
  }

  /** The whole list anew, as these workers and, where {@code spoilt}, a line that can't be read. */
  void tellWhole(boolean spoilt, String... names) throws Exception {
    long before = server.counters().get(Count.LIST_CHANGES);
    List<String> lines = new ArrayList<>();
    for (String name : names) {
      lines.add(line(name, "in_service"));
    }
    if (spoilt) {
      lines.add("{\"name\":\"w9\",\"address\":null}");
    }
    change(true, String.join(",", lines));
    await(Count.LIST_CHANGES, before);
  }

  /** Events that can't be read. */
  void tellUnreadable(String... unreadable) {
    synchronized (events) {
      events.addAll(List.of(unreadable));
      events.notifyAll();
    }
  }

  private static String zone(String worker) {
    return worker.startsWith("w") ? "hall-a" : "hall-b";
  }

  private String changesSince(int seen) {
    synchronized (events) {
      return "{\"seq\":"
          + events.size()
          + ",\"results\":["
          + String.join(",", events.subList(Math.min(seen, events.size()), events.size()))
          + "]}";
    }
  }

  private void changes(HttpExchange x) throws IOException {
    int since = Integer.parseInt(x.getRequestURI().getQuery().split("[=&]")[1]);
    synchronized (events) {
      try {
        if (events.size() <= since) {
          events.wait(1_000);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    Spoilt how = x.getHttpContext().getServer() == roll ? spoilt.poll() : Spoilt.SILENT;
    String text = changesSince(since);
    if (how == null) {
      reply(x, text);
    } else if (how == Spoilt.ERROR) {
      x.sendResponseHeaders(500, -1);
      x.close();
    } else if (how != Spoilt.SILENT) {
      x.sendResponseHeaders(200, text.length());
      x.getResponseBody()
          .write(text.substring(0, text.length() / 2).getBytes(StandardCharsets.UTF_8));
      x.getResponseBody().flush();
      if (how == Spoilt.BROKEN) {
        x.close();
      }
    }
  }

  /**
   * What may become of a poll of the change log: an error, half an answer and then a close or
   * nothing, nothing.
   */
  enum Spoilt {
    ERROR,
    BROKEN,
    STALLED,
    SILENT
  }

  /** The next polls of the change log come to this. */
  void spoilPolls(Spoilt... how) {
    spoilt.addAll(List.of(how));
  }

  private static void reply(HttpExchange x, String text) throws IOException {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    x.sendResponseHeaders(200, body.length == 0 ? -1 : body.length);
    x.getResponseBody().write(body);
    x.close();
  }

  /**
   * {@code send w1 critical}, {@code send w1 gone}, or {@code expect word ...} of what was
   * registered.
   */
  private void consulStep(String verb, String[] words) throws InterruptedException {
    if (verb.equals("expect")) {
      String text = registered.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
      assertNotNull("nothing was registered", text);
      for (String word : words) {
        assertTrue(text + " lacks " + word, text.contains(word));
      }
      return;
    }
    synchronized (consulWorkers) {
      consulWorkers.removeIf(w -> w.startsWith(words[0] + " "));
      if (!words[1].equals("gone")) {
        consulWorkers.add(words[0] + " " + words[1]);
      }
      consulIndex++;
      consulWorkers.notifyAll();
    }
  }

  private void consul(HttpExchange x) throws IOException {
    String path = x.getRequestURI().getPath();
    if (consulFails) {
      x.sendResponseHeaders(500, -1);
      x.close();
      return;
    }
    if (path.startsWith("/v1/agent/")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      x.getRequestBody().transferTo(body);
      registered.add(path + " " + body);
      if (path.endsWith("/register")) {
        JsonObject service =
            com.google.gson.JsonParser.parseString(body.toString()).getAsJsonObject();
        instances.put(service.get("ID").getAsString(), service);
      }
      reply(x, "");
      return;
    }
    if (path.equals("/v1/catalog/service/umberrun")) { // the front ends' own service
      com.google.gson.JsonArray found = new com.google.gson.JsonArray();
      instances.forEach(
          (id, service) -> {
            JsonObject entry = new JsonObject();
            entry.addProperty("ServiceID", id);
            entry.add("ServiceMeta", service.get("Meta"));
            found.add(entry);
          });
      reply(x, found.toString());
      return;
    }
    synchronized (consulWorkers) {
      boolean health = path.startsWith("/v1/health/");
      try {
        if (health && x.getRequestURI().getQuery().startsWith("index=" + consulIndex + "&")) {
          consulWorkers.wait(1_000);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      List<String> lines = new ArrayList<>();
      for (String w : consulWorkers) {
        String[] words = w.split(" ");
        int port = workers.get(words[0]).listener.getLocalPort();
        lines.add(
            health
                ? "{\"Node\":{\"Address\":\"127.0.0.1\"},\"Service\":{\"ID\":\""
                    + words[0]
                    + "\",\"Address\":\"\",\"Port\":"
                    + port
                    + "},\"Checks\":[{\"Status\":\""
                    + words[1]
                    + "\"}]}"
                : "{\"ServiceID\":\""
                    + words[0]
                    + "\",\"ServiceMeta\":{\"zone\":\""
                    + zone(words[0])
                    + "\",\"kind\":\"std-2\"}}");
      }
      x.getResponseHeaders().add("X-Consul-Index", Integer.toString(consulIndex));
      reply(x, "[" + String.join(",", lines) + "]");
    }
  }

  // ---------------------------------------------------------------- small parts

  interface Loop {
    void run() throws IOException;
  }

  static Thread daemon(Loop loop) {
    Thread t =
        new Thread(
            () -> {
              try {
                loop.run();
              } catch (IOException e) {
                // the other side has closed
              }
            });
    t.setDaemon(true);
    t.start();
    return t;
  }

  @Override
  public void close() throws Exception {
    for (Server s : servers) {
      s.close().toCompletionStage().toCompletableFuture().get(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }
    for (Worker w : workers.values()) {
      w.close();
    }
    roll.stop(0);
  }
}
