-- The first configuration of a firm.
INITIALIZE OWNER glenrug KEY "47DEQpj8HBSa+/TImW+5JCeuQeRkm5NMpJWZG3hSuFU=";
create owner zhuldyz key "q3DEQpj8HBSa+/TImW+5JCeuQeRkm5NMpJWZG3hSuFU=";
SET TURN OF glenrug FROM 2026-12; SET TURN OF zhuldyz FROM 2027-01;
CREATE SERVICE yardline FOR FIRM glenrug
  ADDRESS 192.0.2.1:443, [2001:db8::1]:443
  HOSTS 10.1.0.0/16, 10.2.0.0/16;
SET CLASS bookings OF yardline URGENT PATHS /book, "/status" LIMIT 40 WEIGHT 200;
SET CLASS reports OF yardline DEFERRABLE; # everything else
ADD ADDRESS 192.0.2.9:443 TO yardline; REMOVE ADDRESS 192.0.2.9:443 FROM yardline;
ADD HOSTS 10.3.0.0/16 TO yardline; REMOVE HOSTS 10.2.0.0/16 FROM yardline;
DRAIN HOSTS 10.3.0.0/16; SET WEIGHT OF HOSTS 10.1.4.0/24 TO 50;
REMOVE TURN FROM 2027-01; HAND SAY TO zhuldyz
