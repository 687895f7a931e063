"""Stand-in of a replica that forms groups, by PROTOCOL.md."""
import asyncio, json, time, random
import standins as s

class Engine(s.PlainServer):
    table = {}
    def __init__(self, world, name, service, domain, zone="zone-a", slots=8, load_s=0.9, events=6, gap=0.03):
        super().__init__(world, name, service, None, zone, slots)
        self.domain=domain; self.group=None; self.members=[]; self.max_epoch=-1
        self.loaded=None; self.staged=[]; self.last_model=None
        self.load_s=load_s; self.events=events; self.gap=gap
        self.orders=0; self.alive=True; self.running=0
        Engine.table[name]=self
    def entry(self, state="ready"):
        e=super().entry(state)
        e.update({"stage":"both","domain":self.domain,"staged":list(self.staged),
          "models":[{"name":self.loaded,"version":1,"adapters":[]}] if self.loaded else [],
          "group":dict(self.group) if self.group else None})
        return e
    async def put(self):
        self.seq+=1
        await self.world.store.put("keyed.servers", self.name, self.entry())
    def later(self, delay, f):
        async def run():
            await asyncio.sleep(delay); 
            if self.alive: await f()
        asyncio.ensure_future(run())
    async def order(self, o):
        op=o.get("op")
        if op=="stage":
            async def done():
                self.staged=[o["model"]]; await self.put()
            self.orders+=1; self.later(self.load_s, done); return 202
        if op=="join":
            if o["epoch"]<self.max_epoch: return 412
            if self.group and self.group["name"]==o["group"] and self.group["epoch"]==o["epoch"]:
                return 200 if self.members==o["members"] else 412
            self.max_epoch=o["epoch"]; self.orders+=1
            g={"name":o["group"],"epoch":o["epoch"],"rank":o["members"].index(self.name),"state":"joining"}
            self.group=g; self.members=o["members"]
            d=0.2 if self.last_model==o["model"] else (0.3 if o["model"] in self.staged else self.load_s)
            self.last_model=o["model"]
            async def done():
                if self.group is g:
                    self.loaded=o["model"]; self.staged=[o["model"]]; g["state"]="ready"; await self.put()
            self.later(d, done); await self.put(); return 202
        g=self.group
        if not g or g["name"]!=o.get("group") or g["epoch"]!=o.get("epoch"): return 409
        if op=="open":
            if g["state"]=="open": return 200
            if g["state"]!="ready" or g["rank"]!=0: return 409
            async def done():
                if self.group is g and g["state"]=="ready": g["state"]="open"; await self.put()
            self.orders+=1; self.later(0.1, done); return 202
        if op=="close":
            if g["state"]=="open": g["state"]="ready"; await self.put()
            return 200
        if op=="leave":
            self.group=None; self.members=[]; self.orders+=1; await self.put(); return 200
        return 400
    def report(self):
        return {"stage":"both","models":[{"name":self.loaded,"version":1,"adapters":[]}] if self.loaded else [],
          "busy":False,"seq":self.orders,"waiting":0,"running":self.running,"kv_used":0,"kv_total":90000,"handles":0,
          "domain":self.domain,"staged":list(self.staged),"group":dict(self.group) if self.group else None,"pace":1.0,"born":self.born}
    garble=None
    async def serve(self, reader, writer):
        try:
            while True:
                head=await s.read_head(reader)
                if head is None: break
                body=await s.read_body(reader, head)
                rid=head.get("x-request-id")
                if head.get("x-expect-instance", self.name)!=self.name:
                    writer.write(s.message("HTTP/1.1 421 M",[("X-Request-Id",rid),("X-Instance-Id",self.name),("Content-Length",0)])); continue
                m,t,_=head.start.split(" ",2)
                if t=="/api/report" or t=="/api/order":
                    if t=="/api/report": st,js=200,self.report()
                    else: st,js=await self.order(json.loads(body)),{}
                    data=json.dumps(js).encode()
                    out=s.message("HTTP/1.1 %d OK"%st,([("X-Request-Id",rid)] if rid else [])+[("Content-Type","application/json"),("Keep-Alive","timeout=5"),("Content-Length",len(data))],data)
                    if self.garble: out=self.garble(t,out)
                    writer.write(out); await writer.drain()
                    if self.garble and random.random()<.2: break
                    continue
                g=self.group
                if not g or g["state"]!="open" or g["rank"]!=0:
                    writer.write(s.message("HTTP/1.1 %d N"%(421 if g and g["rank"] else 503),[("X-Request-Id",rid),("X-Not-Executed","1"),("Content-Length",0)])); await writer.drain(); continue
                self.runs.append(rid)
                self.world.record.write("%s runs %s"%(self.name,rid))
                if not await self.stream(head,rid,writer): break
        except (ConnectionError,OSError,asyncio.IncompleteReadError): pass
        await s.close(writer)
    async def stream(self, head, rid, writer):
        first=int(head.get("last-event-id","0") or 0)
        writer.write(s.message("HTTP/1.1 200 OK",[("X-Request-Id",rid),("X-Response-Seal","seal."+self.name),("Content-Type","text/event-stream"),("Keep-Alive","timeout=5"),("Transfer-Encoding","chunked")]))
        self.running+=1
        try:
            for i in range(first+1,self.events+1):
                await asyncio.sleep(self.gap)
                ev=b"id: %d\ndata: piece %d of %s\n\n"%(i,i,rid.encode())
                writer.write(b"%x\r\n"%len(ev)+ev+b"\r\n"); await writer.drain()
            writer.write(b"0\r\n\r\n"); await writer.drain()
        finally: self.running-=1
        return True

def engine_service(name, model="m0", size=2, slots=8, **more):
    e={"slots":slots,"kv_capacity_tokens":2470000,"stride":6,"models":[{"name":model,"size":size,"share":1.0,"pace":1.0,"load_s":0.9,"warm_s":0.3}],"step_ms":6.45,"per_seq_ms":0.0967,"context_per_k":0.00293,"read_per_s":56100.0,"pairs_per_m":0.309,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":5.5,"loads_at_once":8,"usual":{"prompt":1115,"answer":152},"keeps":1,"far_x":4.0,"form_ms":100.0}
    e.update(more)
    return {"name":name,"health_path":"/health","max_connections":404,"protocol":"h1","tls":False,"engine":e}
